/*
 * Handling of received datagrams: applies the updates in them, refutes wrong
 * ones about this process, and acknowledges probes.
 */
#include "process/membership_wire.h"

#include <string.h>

/* Lifetime of an indirect probe. */
#define RELAY_INTERVALS 2
/* A process that started less than this ago may take over its VM id. */
#define NEW_PROCESS_US (10 * DWS_US_PER_S)
/*
 * Acknowledgements to a process first seen less than this ago are filled up
 * with members that have no recent updates.
 */
#define NEW_MEMBER_US (30 * DWS_US_PER_S)

/* Forwards a LEAVING update at once, within the quota of the interval. */
void dws_membership_forward_leaving(dws_membership_t *membership,
				    dws_membership_entry_t *entry)
{
	if (membership->notice_quota == 0)
		return;
	membership->notice_quota--;
	dws_membership_send_notices(membership, entry);
}

/*
 * Raises the own incarnation above that of an update. The datagrams sent from
 * now on contain it.
 */
static void refute(dws_membership_t *membership, uint64_t incarnation)
{
	dws_membership_entry_t *self = membership->self;

	if (incarnation >= DWS_MEMBERSHIP_MAX_INCARNATION)
		return;
	self->member.incarnation =
		MAX(self->member.incarnation, incarnation) + 1;
}

/*
 * Returns true if an update is about an earlier process with the own VM id
 * that has ended: it is dead, or had the address that this process is bound
 * to now.
 */
static bool has_ended(const dws_membership_t *membership,
		      const dws_member_t *update)
{
	const dws_address_t *own = &membership->self->member.datagram;

	return update->state == DWS_MEMBER_DEAD ||
	       (update->datagram.port == own->port &&
		strcmp(update->datagram.ip, own->ip) == 0);
}

/*
 * Handles an update about the own VM id. One about this process is refuted if
 * it has a higher incarnation, or a worse state at the same one. One about
 * another process with this id is ignored if its precedence is lower. Else this
 * process refutes it if it is new or the other has ended, and is replaced
 * otherwise.
 */
static void apply_own_update(dws_membership_t *membership,
			     const dws_member_t *update)
{
	const dws_membership_entry_t *self = membership->self;
	uint64_t incarnation = self->member.incarnation;

	if (update->epoch == self->member.epoch) {
		if (update->incarnation > incarnation ||
		    (update->incarnation == incarnation &&
		     update->state > self->gossip_state))
			refute(membership, update->incarnation);
		return;
	}
	if (update->incarnation < incarnation ||
	    (update->incarnation == incarnation &&
	     update->epoch < self->member.epoch))
		return;
	if (membership->now_us - membership->started_us < NEW_PROCESS_US ||
	    has_ended(membership, update))
		refute(membership, update->incarnation);
	else
		membership->replaced = true;
}

/*
 * Applies an update about any member. Returns its entry; NULL for this process
 * and for members that are not added to the table.
 */
static dws_membership_entry_t *apply_update(dws_membership_t *membership,
					    const dws_member_t *update)
{
	dws_membership_entry_t *entry =
		dws_membership_table_find(membership, update->vm_id);

	if (entry == membership->self) {
		apply_own_update(membership, update);
		return NULL;
	}
	/* A stale DEAD update must not add a removed member again. */
	if (!entry && update->state == DWS_MEMBER_DEAD)
		return NULL;
	if (!entry)
		entry = dws_membership_table_add(membership, update->vm_id);
	if (!entry)
		return NULL;
	bool was_leaving = entry->gossip_state == DWS_MEMBER_LEAVING;

	if (dws_membership_table_merge(membership, entry, update) &&
	    !was_leaving && entry->gossip_state == DWS_MEMBER_LEAVING)
		dws_membership_forward_leaving(membership, entry);
	return entry;
}

/* Applies the sender's own state, and records its time of receipt. */
static void apply_sender(dws_membership_t *membership,
			 const dws_member_t *sender)
{
	dws_membership_entry_t *entry = apply_update(membership, sender);

	if (entry && entry->member.epoch == sender->epoch)
		entry->member.last_received_us = membership->now_us;
}

/* Acknowledges a ping. */
static void acknowledge_ping(dws_membership_t *membership,
			     const dws_membership_probe_t *probe,
			     dws_membership_entry_t *sender)
{
	dws_membership_message_t message = {
		.type = DWS__PROBE__TYPE__ACK,
		.sequence = probe->sequence,
		.target_vm = probe->sender.vm_id,
		.receiver = sender,
		.include_unchanged =
			sender && membership->now_us - sender->epoch_since_us <
					  NEW_MEMBER_US,
	};

	/* Tells the sender that it is replaced or its incarnation is old. */
	if (sender && (sender->member.epoch != probe->sender.epoch ||
		       sender->member.incarnation > probe->sender.incarnation))
		message.subject = sender;
	if (probe->target_vm[0] &&
	    strcmp(probe->target_vm, membership->self->member.vm_id) != 0)
		return;
	dws_membership_wire_send(membership, &probe->sender.datagram, &message);
}

/* Handles a ping request: probes a member on behalf of the sender. */
static void handle_ping_request(dws_membership_t *membership,
				const dws_membership_probe_t *probe)
{
	dws_membership_message_t message = {
		.type = DWS__PROBE__TYPE__PING,
		.sequence = dws_membership_next_sequence(membership),
		.target_vm = probe->target_vm,
		.receiver =
			dws_membership_table_find(membership, probe->target_vm),
	};
	dws_membership_relay_t *relay = NULL;

	for (guint i = 0; i < DWS_MEMBERSHIP_MAX_RELAYS && !relay; i++) {
		if (membership->relays[i].sequence == 0 ||
		    membership->relays[i].expires_us <= membership->now_us)
			relay = &membership->relays[i];
	}
	if (!relay)
		return;
	relay->sequence = message.sequence;
	relay->request_sequence = probe->sequence;
	relay->requester = probe->sender.datagram;
	relay->expires_us =
		membership->now_us + RELAY_INTERVALS * membership->interval_us;
	g_strlcpy(relay->target_vm, probe->target_vm, DWS_ID_SIZE);
	dws_membership_wire_send(membership, &probe->target, &message);
}

/* Forwards an acknowledgement to the member that requested the probe. */
static void forward_ack(dws_membership_t *membership,
			const dws_membership_probe_t *probe)
{
	for (guint i = 0; i < DWS_MEMBERSHIP_MAX_RELAYS; i++) {
		dws_membership_relay_t *relay = &membership->relays[i];

		if (relay->sequence == 0 ||
		    relay->sequence != probe->sequence ||
		    relay->expires_us <= membership->now_us ||
		    strcmp(relay->target_vm, probe->sender.vm_id) != 0)
			continue;
		dws_membership_message_t message = {
			.type = DWS__PROBE__TYPE__ACK,
			.sequence = relay->request_sequence,
			.target_vm = relay->target_vm,
			.subject = dws_membership_table_find(membership,
							     relay->target_vm),
		};

		relay->sequence = 0;
		dws_membership_wire_send(membership, &relay->requester,
					 &message);
		return;
	}
}

/* Handles an acknowledgement, from the target or through a relay. */
static void handle_ack(dws_membership_t *membership,
		       const dws_membership_probe_t *probe)
{
	const dws_membership_pending_probe_t *pending = &membership->pending;
	dws_membership_entry_t *target =
		dws_membership_table_find(membership, pending->target_vm);

	forward_ack(membership, probe);
	if (target && probe->sequence == pending->sequence &&
	    strcmp(probe->target_vm, pending->target_vm) == 0)
		target->member.last_received_us = membership->now_us;
}

static void handle_probe(dws_membership_t *membership,
			 const dws_membership_probe_t *probe,
			 dws_membership_entry_t *sender)
{
	switch (probe->type) {
	case DWS__PROBE__TYPE__PING:
		acknowledge_ping(membership, probe, sender);
		break;
	case DWS__PROBE__TYPE__ACK:
		handle_ack(membership, probe);
		break;
	case DWS__PROBE__TYPE__PING_REQUEST:
		handle_ping_request(membership, probe);
		break;
	default:
		break;
	}
}

/*
 * Handles a datagram from a peer. Returns false with DWS_ERROR_FRAME if any
 * part of it is malformed; the table is then unchanged.
 */
bool dws_membership_receive(dws_membership_t *membership, int64_t now_us,
			    const uint8_t *data, size_t size_bytes,
			    GError **error)
{
	dws_membership_probe_t probe;

	if (!dws_membership_wire_parse(&probe, data, size_bytes, error))
		return false;
	if (membership->replaced)
		return true;
	dws_membership_table_advance_time(membership, now_us);
	apply_sender(membership, &probe.sender);
	for (uint32_t i = 0; i < probe.update_count; i++)
		apply_update(membership, &probe.updates[i]);
	if (membership->replaced)
		return true;
	/* An update may have evicted the sender from a full table. */
	dws_membership_entry_t *sender =
		dws_membership_table_find(membership, probe.sender.vm_id);

	if (sender == membership->self)
		sender = NULL;
	handle_probe(membership, &probe, sender);
	if (probe.has_versions && sender)
		membership->ops->versions_received(
			membership->context, probe.sender.vm_id,
			&probe.sender.frame, &probe.versions);
	return true;
}
