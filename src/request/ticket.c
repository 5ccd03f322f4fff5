/*
 * Tickets of non-idempotent requests. The text of a ticket is
 * "1.EPOCH.SERIAL.KIND.MAC.VM" with all numbers in hexadecimal; KIND is a hash
 * of the kind's name and 1 the version of the format.
 */
#include "request/ticket.h"
#include <string.h>

/* The low bits of a serial number are a counter, the rest the expiry in ms. */
#define COUNTER_BITS 24
#define COUNTER_MASK ((1U << COUNTER_BITS) - 1)
#define MAC_HEX_SIZE 32
#define FNV_PRIME 0x100000001b3ULL

/* Continues an FNV-1a hash; see the header. */
uint64_t dws_fnv1a_bytes(uint64_t hash, const void *data, size_t size_bytes)
{
	const uint8_t *bytes = data;

	for (size_t i = 0; i < size_bytes; i++) {
		hash ^= bytes[i];
		hash *= FNV_PRIME;
	}
	return hash;
}

/*
 * Hashes the terminating null byte as well, so that consecutive texts can't be
 * split differently with the same hash. NULL is hashed as "".
 */
uint64_t dws_fnv1a_string(uint64_t hash, const char *text)
{
	if (!text)
		text = "";
	return dws_fnv1a_bytes(hash, text, strlen(text) + 1);
}

static uint32_t kind_hash(const char *kind)
{
	return (uint32_t)dws_fnv1a_string(DWS_FNV1A_OFFSET_BASIS, kind);
}

/* HMAC-SHA256 of a ticket's fields, truncated to 128 bits, in hexadecimal. */
static void compute_mac(const dws_ticket_issuer_t *issuer, uint64_t serial,
			uint32_t kind, char mac[MAC_HEX_SIZE + 1])
{
	GHmac *hmac =
		g_hmac_new(G_CHECKSUM_SHA256, issuer->key, sizeof(issuer->key));
	uint64_t fields[3] = {issuer->epoch, serial, kind};

	g_hmac_update(hmac, (const guchar *)fields, sizeof(fields));
	g_hmac_update(hmac, (const guchar *)issuer->vm_id,
		      (gssize)strlen(issuer->vm_id));
	g_strlcpy(mac, g_hmac_get_string(hmac), MAC_HEX_SIZE + 1);
	g_hmac_unref(hmac);
}

/*
 * Initializes caller-provided memory. The secret must be unguessable; the key
 * is derived from it and the epoch. now_us becomes the origin of the times in
 * serial numbers.
 */
void dws_ticket_issuer_init(dws_ticket_issuer_t *issuer, const char *vm_id,
			    uint64_t epoch, uint64_t secret, int64_t now_us,
			    int64_t ttl_us)
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	uint64_t fields[2] = {secret, epoch};
	gsize key_size = sizeof(issuer->key);

	memset(issuer, 0, sizeof(*issuer));
	g_checksum_update(sum, (const guchar *)fields, sizeof(fields));
	g_checksum_get_digest(sum, issuer->key, &key_size);
	g_checksum_free(sum);
	g_strlcpy(issuer->vm_id, vm_id, sizeof(issuer->vm_id));
	issuer->epoch = epoch;
	issuer->origin_us = now_us;
	issuer->ttl_us = ttl_us;
}

uint64_t dws_ticket_next_serial(dws_ticket_issuer_t *issuer, int64_t now_us)
{
	int64_t expiry_ms =
		(now_us - issuer->origin_us + issuer->ttl_us) / DWS_US_PER_MS;

	issuer->counter++;
	return ((uint64_t)expiry_ms << COUNTER_BITS) |
	       (issuer->counter & COUNTER_MASK);
}

int64_t dws_ticket_expiry_us(const dws_ticket_issuer_t *issuer, uint64_t serial)
{
	return issuer->origin_us +
	       (int64_t)(serial >> COUNTER_BITS) * DWS_US_PER_MS;
}

void dws_ticket_issue(dws_ticket_issuer_t *issuer, int64_t now_us,
		      const char *kind, char text[DWS_TICKET_TEXT_SIZE])
{
	uint64_t serial = dws_ticket_next_serial(issuer, now_us);
	char mac[MAC_HEX_SIZE + 1];

	compute_mac(issuer, serial, kind_hash(kind), mac);
	g_snprintf(text, DWS_TICKET_TEXT_SIZE,
		   "1.%" G_GINT64_MODIFIER "x.%" G_GINT64_MODIFIER "x.%x.%s.%s",
		   issuer->epoch, serial, kind_hash(kind), mac, issuer->vm_id);
}

/* Parses a hexadecimal field of 1 to 16 digits, terminated by a dot. */
static bool parse_hex(const char **text, uint64_t *value)
{
	const char *dot = strchr(*text, '.');
	size_t digits = dot ? (size_t)(dot - *text) : 0;

	if (digits < 1 || digits > 16)
		return false;
	*value = 0;
	for (const char *c = *text; c < dot; c++) {
		if (!g_ascii_isxdigit(*c))
			return false;
		*value = *value << 4 | (uint64_t)g_ascii_xdigit_value(*c);
	}
	*text = dot + 1;
	return true;
}

bool dws_ticket_parse(const char *text, dws_ticket_t *ticket, GError **error)
{
	uint64_t version;
	uint64_t kind;
	const char *rest = text;
	bool ok = strlen(text) < DWS_TICKET_TEXT_SIZE &&
		  parse_hex(&rest, &version) && version == 1 &&
		  parse_hex(&rest, &ticket->home_epoch) &&
		  parse_hex(&rest, &ticket->serial) &&
		  parse_hex(&rest, &kind) && kind <= UINT32_MAX;
	const char *vm = ok ? strchr(rest, '.') : NULL;

	if (!vm || vm - rest != MAC_HEX_SIZE || vm[1] == '\0' ||
	    strlen(vm + 1) >= sizeof(ticket->home_vm)) {
		g_set_error(error, DWS_ERROR, DWS_ERROR_TICKET,
			    "Dogwoodshift-Ticket: malformed ticket; send the "
			    "Dogwoodshift-Next-Ticket header of an earlier "
			    "response unchanged");
		return false;
	}
	ticket->kind_hash = (uint32_t)kind;
	g_strlcpy(ticket->home_vm, vm + 1, sizeof(ticket->home_vm));
	return true;
}

/* Compares two MACs in constant time. */
static bool macs_equal(const char *a, const char *b)
{
	unsigned int difference = 0;

	for (int i = 0; i < MAC_HEX_SIZE; i++)
		difference |= (unsigned char)a[i] ^ (unsigned char)b[i];
	return difference == 0;
}

bool dws_ticket_verify(const dws_ticket_issuer_t *issuer, const char *text,
		       const char *kind, GError **error)
{
	dws_ticket_t ticket;
	char mac[MAC_HEX_SIZE + 1];
	char expected[DWS_TICKET_TEXT_SIZE];

	if (!dws_ticket_parse(text, &ticket, error))
		return false;
	if (ticket.kind_hash != kind_hash(kind)) {
		g_set_error(error, DWS_ERROR, DWS_ERROR_TICKET,
			    "Dogwoodshift-Ticket: issued for another kind of "
			    "work than %s; send the request without a ticket "
			    "to obtain one for this kind",
			    kind);
		return false;
	}
	compute_mac(issuer, ticket.serial, ticket.kind_hash, mac);
	g_snprintf(expected, sizeof(expected),
		   "1.%" G_GINT64_MODIFIER "x.%" G_GINT64_MODIFIER "x.%x.",
		   issuer->epoch, ticket.serial, ticket.kind_hash);
	size_t prefix = strlen(expected);

	if (strncmp(text, expected, prefix) != 0 ||
	    strcmp(ticket.home_vm, issuer->vm_id) != 0 ||
	    !macs_equal(text + prefix, mac)) {
		g_set_error(error, DWS_ERROR, DWS_ERROR_TICKET,
			    "Dogwoodshift-Ticket: authentication failed; send "
			    "the Dogwoodshift-Next-Ticket header of an earlier "
			    "response unchanged");
		return false;
	}
	return true;
}
