/*
 * Tickets of non-idempotent requests. A ticket identifies the only process that
 * may dispatch its request (the home) and carries a message authentication code
 * under a key known to the home alone. Its serial number contains the expiry
 * time on the home's monotonic clock, so that clocks of other machines are not
 * involved.
 */
#ifndef DWS_REQUEST_TICKET_H
#define DWS_REQUEST_TICKET_H

#include "process/settings.h"

#define DWS_TICKET_KEY_SIZE 32
#define DWS_TICKET_TEXT_SIZE 192

typedef struct dws_ticket {
	char home_vm[DWS_ID_SIZE];
	uint64_t home_epoch; /* identifies the process on home_vm */
	uint64_t serial;
	uint32_t kind_hash; /* low 32 bits of the kind name's FNV-1a hash */
} dws_ticket_t;

/* Issues and verifies the tickets of one process. */
typedef struct dws_ticket_issuer {
	uint8_t key[DWS_TICKET_KEY_SIZE];
	uint64_t epoch;
	char vm_id[DWS_ID_SIZE];
	int64_t origin_us; /* origin of the times in serial numbers */
	int64_t ttl_us; /* lifetime of a ticket */
	uint32_t counter; /* serial numbers issued */
} dws_ticket_issuer_t;

/*
 * Initializes caller-provided memory. The secret must be unguessable; the key
 * is derived from it and the epoch. now_us becomes the origin of the times in
 * serial numbers.
 */
void dws_ticket_issuer_init(dws_ticket_issuer_t *issuer, const char *vm_id,
			    uint64_t epoch, uint64_t secret, int64_t now_us,
			    int64_t ttl_us);
/* Returns a new serial number, unique in this process; expires after ttl_us. */
uint64_t dws_ticket_next_serial(dws_ticket_issuer_t *issuer, int64_t now_us);
/* Returns the expiry time of a serial number, on the home's clock. */
int64_t dws_ticket_expiry_us(const dws_ticket_issuer_t *issuer,
			     uint64_t serial);
/* Issues a ticket for a kind of work and writes its text. */
void dws_ticket_issue(dws_ticket_issuer_t *issuer, int64_t now_us,
		      const char *kind, char text[DWS_TICKET_TEXT_SIZE]);
/*
 * Parses the text of a ticket without authenticating it, which is enough to
 * find its home. Errors: DWS_ERROR_TICKET.
 */
bool dws_ticket_parse(const char *text, dws_ticket_t *ticket, GError **error);
/*
 * Checks that this process issued the ticket for the kind of work. Errors:
 * DWS_ERROR_TICKET, also for a ticket of another kind.
 */
bool dws_ticket_verify(const dws_ticket_issuer_t *issuer, const char *text,
		       const char *kind, GError **error);
/*
 * Continue an FNV-1a hash (Fowler, Noll, Vo), which starts from
 * DWS_FNV1A_OFFSET_BASIS. Not cryptographic: for identities that need not be
 * unguessable.
 */
uint64_t dws_fnv1a_bytes(uint64_t hash, const void *data, size_t size_bytes);
uint64_t dws_fnv1a_string(uint64_t hash, const char *text);

#define DWS_FNV1A_OFFSET_BASIS 0xcbf29ce484222325ULL

#endif
