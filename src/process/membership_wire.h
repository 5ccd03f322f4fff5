/*
 * Probes as bytes: building them within the size of a datagram, and checking
 * all of a received one before any of it is used. Internal.
 */
#ifndef DWS_PROCESS_MEMBERSHIP_WIRE_H
#define DWS_PROCESS_MEMBERSHIP_WIRE_H

#include "connection/wire.pb-c.h"
#include "process/membership_table.h"

#define DWS_MEMBERSHIP_MAX_UPDATES 6

/* A received probe; every part is checked. */
typedef struct dws_membership_probe {
	Dws__Probe__Type type;
	uint32_t sequence;
	dws_member_t sender;
	char target_vm[DWS_ID_SIZE]; /* "" if none is named */
	dws_address_t target; /* port 0 if none is named */
	bool has_claim;
	dws_claim_t claim;
	uint32_t update_count;
	dws_member_t updates[DWS_MEMBERSHIP_MAX_UPDATES + 2];
} dws_membership_probe_t;

/* A probe to be sent. */
typedef struct dws_membership_message {
	Dws__Probe__Type type;
	uint32_t sequence;
	const char *target_vm; /* "" if none is named */
	const dws_address_t *target; /* NULL if none is named */
	/* Whose claims go along first; NULL for none. */
	dws_membership_entry_t *subject;
	/* The receiver, if known: news about it goes along too. */
	dws_membership_entry_t *receiver;
	bool fill; /* with members that are no news, for a newcomer */
} dws_membership_message_t;

void dws_membership_wire_send(dws_membership_t *membership,
			      const dws_address_t *to,
			      const dws_membership_message_t *message);
bool dws_membership_wire_parse(dws_membership_probe_t *probe,
			       const uint8_t *data, size_t size_bytes,
			       GError **error);
/* The next number of a probe; never 0. */
uint32_t dws_membership_next_sequence(dws_membership_t *membership);
/*
 * Sends a notice to a few members of each zone. The subject, if it is not
 * NULL, is the member whose claim goes along.
 */
void dws_membership_send_notices(dws_membership_t *membership,
				 dws_membership_entry_t *subject);
/* Passes news of a leaving on at once, within the interval's credit. */
void dws_membership_forward_leaving(dws_membership_t *membership,
				    dws_membership_entry_t *entry);

#endif
