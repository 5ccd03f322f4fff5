/*
 * Tickets of non-idempotent requests. A ticket names the process that alone
 * may dispatch its request (the home) and is authenticated with a key that
 * only the home knows. Its serial number holds the expiry on the home's own
 * monotonic clock, so clocks of other machines never matter.
 */
#ifndef DWS_REQUEST_TICKET_H
#define DWS_REQUEST_TICKET_H

#include "process/settings.h"

#define DWS_TICKET_KEY_SIZE 32
#define DWS_TICKET_TEXT_SIZE 192

typedef struct dws_ticket {
	char home_vm[DWS_ID_SIZE];
	uint64_t home_epoch;
	uint64_t serial;
	uint32_t kind_hash;
} dws_ticket_t;

typedef struct dws_ticket_mint {
	uint8_t key[DWS_TICKET_KEY_SIZE];
	uint64_t epoch;
	char vm_id[DWS_ID_SIZE];
	int64_t origin_us; /* serial numbers count time from here */
	int64_t ttl_us;
	uint32_t counter;
} dws_ticket_mint_t;

void dws_ticket_mint_init(dws_ticket_mint_t *mint, const char *vm_id,
			  uint64_t epoch, uint64_t secret, int64_t now_us,
			  int64_t ttl_us);
/* A new serial number; each is given once. */
uint64_t dws_ticket_serial(dws_ticket_mint_t *mint, int64_t now_us);
/* When requests of a serial number expire, on the home's clock. */
int64_t dws_ticket_expiry_us(const dws_ticket_mint_t *mint, uint64_t serial);
/* Writes the text of a new ticket for a kind of work. */
void dws_ticket_write(dws_ticket_mint_t *mint, int64_t now_us, const char *kind,
		      char text[DWS_TICKET_TEXT_SIZE]);
/* Reads the text of a ticket, without authenticating it. */
bool dws_ticket_parse(const char *text, dws_ticket_t *ticket, GError **error);
/* Tells whether this process minted the text for the kind. */
bool dws_ticket_verify(const dws_ticket_mint_t *mint, const char *text,
		       const char *kind, GError **error);
/* FNV-1a (Fowler, Noll, Vo), for identities that need no secrecy. */
uint64_t dws_hash_bytes(uint64_t hash, const void *data, size_t size_bytes);
uint64_t dws_hash_text(uint64_t hash, const char *text);

#define DWS_HASH_START 0xcbf29ce484222325ULL

#endif
