/*
 * What a process does with the datagrams of its peers: it takes the claims
 * in them, refutes wrong ones about itself, and answers probes.
 */
#include "process/membership_wire.h"

#include <string.h>

#define RELAY_INTERVALS 2
/* A process is new for so long: it may take its VM id over. */
#define NEW_PROCESS_US (10 * DWS_US_PER_S)
/* A newcomer is told of members that are no news, for so long. */
#define FILL_US (30 * DWS_US_PER_S)

/* Passes news of a leaving on at once, within the interval's credit. */
void dws_membership_forward_leaving(dws_membership_t *membership,
				    dws_membership_entry_t *entry)
{
	if (membership->notice_credit == 0)
		return;
	membership->notice_credit--;
	dws_membership_send_notices(membership, entry);
}

/* Raises the own incarnation above a claim; the next datagrams tell others. */
static void refute(dws_membership_t *membership, uint64_t incarnation)
{
	dws_membership_entry_t *self = membership->self;

	if (incarnation >= DWS_MEMBERSHIP_MAX_INCARNATION)
		return;
	self->member.incarnation =
		MAX(self->member.incarnation, incarnation) + 1;
}

/*
 * True if a claim is about another process of the own VM id that is gone: it
 * is dead, or was at the address that this process holds now.
 */
static bool is_gone(const dws_membership_t *membership,
		    const dws_member_t *claim)
{
	const dws_address_t *own = &membership->self->member.datagram;

	return claim->state == DWS_MEMBER_DEAD ||
	       (claim->datagram.port == own->port &&
		strcmp(claim->datagram.ip, own->ip) == 0);
}

/*
 * Takes what another process says of the own VM id. Claims about this
 * process are refuted if they are worse than the truth. Over another process
 * of the id, a new process prevails, and any process if the other is gone;
 * else the order decides.
 */
static void take_own_claim(dws_membership_t *membership,
			   const dws_member_t *claim)
{
	const dws_membership_entry_t *self = membership->self;
	uint64_t known = self->member.incarnation;

	if (claim->epoch == self->member.epoch) {
		if (claim->incarnation > known ||
		    (claim->incarnation == known &&
		     claim->state > self->claimed))
			refute(membership, claim->incarnation);
		return;
	}
	if (claim->incarnation < known ||
	    (claim->incarnation == known && claim->epoch < self->member.epoch))
		return;
	if (membership->now_us - membership->started_us < NEW_PROCESS_US ||
	    is_gone(membership, claim))
		refute(membership, claim->incarnation);
	else
		membership->replaced = true;
}

/* Takes a claim about any member; returns its entry if it is known. */
static dws_membership_entry_t *take_claim(dws_membership_t *membership,
					  const dws_member_t *claim)
{
	dws_membership_entry_t *entry =
		dws_membership_table_find(membership, claim->vm_id);

	if (entry == membership->self) {
		take_own_claim(membership, claim);
		return NULL;
	}
	/* A claim of death about a stranger must not bring it back. */
	if (!entry && claim->state == DWS_MEMBER_DEAD)
		return NULL;
	if (!entry)
		entry = dws_membership_table_add(membership, claim->vm_id);
	if (!entry)
		return NULL;
	bool was_leaving = entry->claimed == DWS_MEMBER_LEAVING;

	if (dws_membership_table_merge(membership, entry, claim) &&
	    !was_leaving && entry->claimed == DWS_MEMBER_LEAVING)
		dws_membership_forward_leaving(membership, entry);
	return entry;
}

/* Takes the claim of a sender about itself, and notes that it was heard. */
static void take_sender(dws_membership_t *membership,
			const dws_member_t *sender)
{
	dws_membership_entry_t *entry = take_claim(membership, sender);

	if (entry && entry->member.epoch == sender->epoch)
		entry->member.heard_us = membership->now_us;
}

/* Answers a ping. */
static void answer_ping(dws_membership_t *membership,
			const dws_membership_probe_t *probe,
			dws_membership_entry_t *sender)
{
	dws_membership_message_t message = {
		.type = DWS__PROBE__TYPE__ACK,
		.sequence = probe->sequence,
		.target_vm = probe->sender.vm_id,
		.receiver = sender,
		.fill = sender &&
			membership->now_us - sender->known_since_us < FILL_US,
	};

	/* Another process holds the sender's VM id here, or it was refuted. */
	if (sender && (sender->member.epoch != probe->sender.epoch ||
		       sender->member.incarnation > probe->sender.incarnation))
		message.subject = sender;
	if (probe->target_vm[0] &&
	    strcmp(probe->target_vm, membership->self->member.vm_id) != 0)
		return;
	dws_membership_wire_send(membership, &probe->sender.datagram, &message);
}

/* Probes a member on behalf of another one. */
static void relay_ping(dws_membership_t *membership,
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
		    membership->relays[i].until_us <= membership->now_us)
			relay = &membership->relays[i];
	}
	if (!relay)
		return;
	relay->sequence = message.sequence;
	relay->asked_sequence = probe->sequence;
	relay->asker = probe->sender.datagram;
	relay->until_us =
		membership->now_us + RELAY_INTERVALS * membership->interval_us;
	g_strlcpy(relay->target_vm, probe->target_vm, DWS_ID_SIZE);
	dws_membership_wire_send(membership, &probe->target, &message);
}

/* Passes an acknowledgement on to the member that asked for the probe. */
static void relay_ack(dws_membership_t *membership,
		      const dws_membership_probe_t *probe)
{
	for (guint i = 0; i < DWS_MEMBERSHIP_MAX_RELAYS; i++) {
		dws_membership_relay_t *relay = &membership->relays[i];

		if (relay->sequence == 0 ||
		    relay->sequence != probe->sequence ||
		    relay->until_us <= membership->now_us ||
		    strcmp(relay->target_vm, probe->sender.vm_id) != 0)
			continue;
		dws_membership_message_t message = {
			.type = DWS__PROBE__TYPE__ACK,
			.sequence = relay->asked_sequence,
			.target_vm = relay->target_vm,
			.subject = dws_membership_table_find(membership,
							     relay->target_vm),
		};

		relay->sequence = 0;
		dws_membership_wire_send(membership, &relay->asker, &message);
		return;
	}
}

/* Takes an acknowledgement, of the target itself or through a relay. */
static void take_ack(dws_membership_t *membership,
		     const dws_membership_probe_t *probe)
{
	const dws_membership_pending_t *pending = &membership->pending;
	dws_membership_entry_t *target =
		dws_membership_table_find(membership, pending->target_vm);

	relay_ack(membership, probe);
	if (target && probe->sequence == pending->sequence &&
	    strcmp(probe->target_vm, pending->target_vm) == 0)
		target->member.heard_us = membership->now_us;
}

/* Does what the type of a probe asks for. */
static void answer_probe(dws_membership_t *membership,
			 const dws_membership_probe_t *probe,
			 dws_membership_entry_t *sender)
{
	switch (probe->type) {
	case DWS__PROBE__TYPE__PING:
		answer_ping(membership, probe, sender);
		break;
	case DWS__PROBE__TYPE__ACK:
		take_ack(membership, probe);
		break;
	case DWS__PROBE__TYPE__PING_REQUEST:
		relay_ping(membership, probe);
		break;
	default:
		break;
	}
}

/*
 * Takes a datagram of a peer. False with DWS_ERROR_FRAME if any part of it
 * is malformed; nothing of it is taken then.
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
	dws_membership_table_advance(membership, now_us);
	take_sender(membership, &probe.sender);
	for (uint32_t i = 0; i < probe.update_count; i++)
		take_claim(membership, &probe.updates[i]);
	if (membership->replaced)
		return true;
	/* An update may have made room by dropping the sender. */
	dws_membership_entry_t *sender =
		dws_membership_table_find(membership, probe.sender.vm_id);

	if (sender == membership->self)
		sender = NULL;
	answer_probe(membership, &probe, sender);
	if (probe.has_claim && sender)
		membership->ops->claimed(membership->context,
					 probe.sender.vm_id,
					 &probe.sender.frame, &probe.claim);
	return true;
}
