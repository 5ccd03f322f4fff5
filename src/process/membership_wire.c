/*
 * Datagrams of the membership.
 */
#include "process/membership_wire.h"

#include <string.h>

/* Fits the smallest common path without fragments. */
#define MAX_SEND_BYTES 1200
#define MAX_RECEIVE_BYTES 1400

/* Sets a DWS_ERROR_FRAME that says which part of a probe is wrong. */
static bool refuse(GError **error, const char *part)
{
	g_set_error(error, DWS_ERROR, DWS_ERROR_FRAME,
		    "datagram: bad %s; check that all processes run the same "
		    "version and that no other program uses the port",
		    part);
	return false;
}

/* Copies an identifier; false if it is too long, or has odd characters. */
static bool copy_id(char *to, const char *from, bool may_be_empty)
{
	size_t length = strlen(from);

	if (length >= DWS_ID_SIZE || (length == 0 && !may_be_empty))
		return false;
	for (size_t i = 0; i < length; i++) {
		if (!g_ascii_isgraph(from[i]))
			return false;
	}
	memset(to, 0, DWS_ID_SIZE);
	g_strlcpy(to, from, DWS_ID_SIZE);
	return true;
}

/* Copies an address; false if it is no IP number with a port. */
static bool copy_address(dws_address_t *to, const char *ip, uint32_t port)
{
	if (strlen(ip) >= sizeof(to->ip) || !g_hostname_is_ip_address(ip))
		return false;
	if (port == 0 || port > UINT16_MAX)
		return false;
	memset(to, 0, sizeof(*to));
	g_strlcpy(to->ip, ip, sizeof(to->ip));
	to->port = (uint16_t)port;
	return true;
}

/* Checks and copies a claim about a member. */
static bool copy_update(dws_member_t *to, const Dws__MemberUpdate *from)
{
	if (!from || from->epoch == 0 || from->state > DWS_MEMBER_DEAD ||
	    from->incarnation > DWS_MEMBERSHIP_MAX_INCARNATION)
		return false;
	memset(to, 0, sizeof(*to));
	to->epoch = from->epoch;
	to->incarnation = from->incarnation;
	to->state = (dws_member_state_t)from->state;
	return copy_id(to->vm_id, from->vm_id, false) &&
	       copy_id(to->zone, from->zone, true) &&
	       copy_id(to->region, from->region, true) &&
	       copy_id(to->service, from->service, true) &&
	       copy_address(&to->frame, from->ip, from->frame_port) &&
	       copy_address(&to->datagram, from->ip, from->datagram_port);
}

/* Checks and copies the numbers of the platform's documents. */
static bool copy_numbers(dws_membership_probe_t *probe, const Dws__Claim *from)
{
	if (!from)
		return true;
	if (from->config_digest.len != DWS_DIGEST_SIZE &&
	    from->config_digest.len != 0)
		return false;
	probe->has_claim = true;
	probe->claim.config_sequence = from->config_sequence;
	probe->claim.vms_revision = from->vms_revision;
	probe->claim.config_age_ms = from->config_age_ms;
	if (from->config_digest.len > 0)
		memcpy(probe->claim.config_digest, from->config_digest.data,
		       DWS_DIGEST_SIZE);
	return true;
}

/* Checks and copies a decoded probe. */
static bool copy_probe(dws_membership_probe_t *probe, const Dws__Probe *from,
		       GError **error)
{
	if ((unsigned int)from->type > DWS__PROBE__TYPE__NOTICE)
		return refuse(error, "type");
	probe->type = from->type;
	probe->sequence = from->sequence;
	if (!copy_update(&probe->sender, from->sender))
		return refuse(error, "sender");
	if (!copy_id(probe->target_vm, from->target_vm, true))
		return refuse(error, "target");
	if (from->type == DWS__PROBE__TYPE__PING_REQUEST &&
	    (!probe->target_vm[0] ||
	     !copy_address(&probe->target, from->target_ip, from->target_port)))
		return refuse(error, "target address");
	if (!copy_numbers(probe, from->claim))
		return refuse(error, "claim");
	if (from->n_updates > G_N_ELEMENTS(probe->updates))
		return refuse(error, "number of updates");
	for (size_t i = 0; i < from->n_updates; i++) {
		if (!copy_update(&probe->updates[i], from->updates[i]))
			return refuse(error, "update");
	}
	probe->update_count = (uint32_t)from->n_updates;
	return true;
}

/* Decodes and checks a datagram; false with an error, and nothing is used. */
bool dws_membership_wire_parse(dws_membership_probe_t *probe,
			       const uint8_t *data, size_t size_bytes,
			       GError **error)
{
	memset(probe, 0, sizeof(*probe));
	if (size_bytes > MAX_RECEIVE_BYTES)
		return refuse(error, "size");
	Dws__Probe *decoded = dws__probe__unpack(NULL, size_bytes, data);

	if (!decoded)
		return refuse(error, "encoding");
	bool ok = copy_probe(probe, decoded, error);

	dws__probe__free_unpacked(decoded, NULL);
	return ok;
}

/* Fills in a message about a member; the text stays the member's. */
static void fill_update(Dws__MemberUpdate *to,
			const dws_membership_entry_t *entry)
{
	const dws_member_t *member = &entry->member;

	dws__member_update__init(to);
	to->vm_id = (char *)member->vm_id;
	to->ip = (char *)member->frame.ip;
	to->frame_port = member->frame.port;
	to->datagram_port = member->datagram.port;
	to->zone = (char *)member->zone;
	to->region = (char *)member->region;
	to->service = (char *)member->service;
	to->epoch = member->epoch;
	to->incarnation = member->incarnation;
	to->state = entry->claimed;
}

/* The age of the configuration grows while the claim is kept. */
static uint32_t claim_age_ms(const dws_membership_t *membership)
{
	uint32_t age_ms = membership->claim.config_age_ms;
	int64_t kept_ms =
		(membership->now_us - membership->claim_set_us) / DWS_US_PER_MS;

	if (age_ms == UINT32_MAX)
		return age_ms;
	if (kept_ms > (int64_t)(UINT32_MAX - 1 - age_ms))
		return UINT32_MAX - 1;
	return age_ms + (uint32_t)kept_ms;
}

/* Fills in the own claim about the platform's documents. */
static void fill_claim(Dws__Claim *to, dws_membership_t *membership)
{
	dws__claim__init(to);
	to->config_sequence = membership->claim.config_sequence;
	to->config_digest.data = membership->claim.config_digest;
	to->config_digest.len = DWS_DIGEST_SIZE;
	to->vms_revision = membership->claim.vms_revision;
	to->config_age_ms = claim_age_ms(membership);
}

/* The probe that is being built, with the memory of its parts. */
typedef struct builder {
	Dws__Probe probe;
	Dws__MemberUpdate sender;
	Dws__Claim claim;
	Dws__MemberUpdate parts[DWS_MEMBERSHIP_MAX_UPDATES];
	Dws__MemberUpdate *updates[DWS_MEMBERSHIP_MAX_UPDATES];
	const dws_membership_entry_t *entries[DWS_MEMBERSHIP_MAX_UPDATES];
	size_t size_bytes;
} builder_t;

/* Adds a member's claim; false if it does not fit. */
static bool add_update(builder_t *builder, const dws_membership_entry_t *entry)
{
	size_t count = builder->probe.n_updates;

	if (entry->member.epoch == 0)
		return true;
	for (size_t i = 0; i < count; i++) {
		if (builder->entries[i] == entry)
			return true;
	}
	if (count == DWS_MEMBERSHIP_MAX_UPDATES)
		return false;
	fill_update(&builder->parts[count], entry);
	/* The key and the length of an update take at most 3 bytes. */
	size_t size_bytes =
		dws__member_update__get_packed_size(&builder->parts[count]) + 3;

	if (builder->size_bytes + size_bytes > MAX_SEND_BYTES)
		return false;
	builder->size_bytes += size_bytes;
	builder->updates[count] = &builder->parts[count];
	builder->entries[count] = entry;
	builder->probe.n_updates++;
	return true;
}

/* Adds what is news, from the head of a queue, each at most once. */
static void add_news(builder_t *builder, GQueue *queue)
{
	guint length = queue->length;

	for (guint i = 0; i < length && queue->head; i++) {
		dws_membership_entry_t *entry = queue->head->data;

		if (!add_update(builder, entry))
			return;
		dws_membership_table_sent(entry);
	}
}

/* Adds random live members while there is room. */
static void add_known(builder_t *builder, dws_membership_t *membership)
{
	guint count = membership->all->len;

	for (guint i = 0; i < 2 * DWS_MEMBERSHIP_MAX_UPDATES; i++) {
		guint index = dws_membership_random_below(membership, count);
		dws_membership_entry_t *entry = membership->all->pdata[index];

		if (entry == membership->self ||
		    entry->claimed != DWS_MEMBER_ALIVE)
			continue;
		if (!add_update(builder, entry))
			return;
	}
}

/* Adds the claims that go along with a message. */
static void add_updates(builder_t *builder, dws_membership_t *membership,
			const dws_membership_message_t *message)
{
	if (message->receiver && message->receiver->claimed != DWS_MEMBER_ALIVE)
		add_update(builder, message->receiver);
	if (message->subject)
		add_update(builder, message->subject);
	add_news(builder, &membership->urgent);
	add_news(builder, &membership->news);
	if (message->fill)
		add_known(builder, membership);
}

/* Builds a probe with recent changes and sends it. */
void dws_membership_wire_send(dws_membership_t *membership,
			      const dws_address_t *to,
			      const dws_membership_message_t *message)
{
	builder_t builder = {0};
	uint8_t bytes[MAX_SEND_BYTES];

	dws__probe__init(&builder.probe);
	builder.probe.type = message->type;
	builder.probe.sequence = message->sequence;
	fill_update(&builder.sender, membership->self);
	builder.probe.sender = &builder.sender;
	builder.probe.target_vm = (char *)message->target_vm;
	if (message->target) {
		builder.probe.target_ip = (char *)message->target->ip;
		builder.probe.target_port = message->target->port;
	}
	fill_claim(&builder.claim, membership);
	builder.probe.claim = &builder.claim;
	builder.probe.updates = builder.updates;
	builder.size_bytes = dws__probe__get_packed_size(&builder.probe);
	add_updates(&builder, membership, message);
	size_t size_bytes = dws__probe__pack(&builder.probe, bytes);

	membership->ops->send(membership->context, to, bytes, size_bytes);
}
