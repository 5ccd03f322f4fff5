/*
 * Encoding of probes within the size of a datagram, and complete validation of
 * received ones before any part is used. Internal.
 */
#ifndef DWS_PROCESS_MEMBERSHIP_WIRE_H
#define DWS_PROCESS_MEMBERSHIP_WIRE_H

#include "connection/wire.pb-c.h"
#include "process/membership_table.h"

/* Updates sent in one probe; the parser accepts up to two more. */
#define DWS_MEMBERSHIP_MAX_UPDATES 6

/* A received, validated probe. */
typedef struct dws_membership_probe {
	Dws__Probe__Type type;
	uint32_t sequence;
	dws_member_t sender;
	char target_vm[DWS_ID_SIZE]; /* "" if none */
	dws_address_t target; /* port 0 if none */
	bool has_versions;
	dws_document_versions_t versions; /* of the sender */
	uint32_t update_count;
	dws_member_t updates[DWS_MEMBERSHIP_MAX_UPDATES + 2];
} dws_membership_probe_t;

/* Parameters of a probe to be sent. */
typedef struct dws_membership_message {
	Dws__Probe__Type type;
	uint32_t sequence;
	const char *target_vm; /* "" if none */
	const dws_address_t *target; /* NULL if none */
	/* The member whose update has priority; NULL if none. */
	dws_membership_entry_t *subject;
	/* The receiver, if known: unless ALIVE, its state is included. */
	dws_membership_entry_t *receiver;
	bool include_unchanged; /* fill up with random live members */
} dws_membership_message_t;

/* Sends a probe with recent updates piggybacked. */
void dws_membership_wire_send(dws_membership_t *membership,
			      const dws_address_t *to,
			      const dws_membership_message_t *message);
/*
 * Decodes and validates a datagram. Returns false with DWS_ERROR_FRAME if it is
 * malformed.
 */
bool dws_membership_wire_parse(dws_membership_probe_t *probe,
			       const uint8_t *data, size_t size_bytes,
			       GError **error);
/* Returns the next sequence number of a probe; never 0. */
uint32_t dws_membership_next_sequence(dws_membership_t *membership);
/*
 * Sends a notice to a few members of each zone, with the update of a member
 * unless subject is NULL.
 */
void dws_membership_send_notices(dws_membership_t *membership,
				 dws_membership_entry_t *subject);
/* Sends a notice to the stand-bys of this zone behind this process. */
void dws_membership_send_stand_by_notices(dws_membership_t *membership);
/* Forwards a LEAVING update at once, within the quota of the interval. */
void dws_membership_forward_leaving(dws_membership_t *membership,
				    dws_membership_entry_t *entry);

#endif
