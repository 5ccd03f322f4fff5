/*
 * Encoding and decoding of membership datagrams.
 */
#include "process/membership_wire.h"

#include <string.h>

/* Avoids IP fragmentation at the smallest common path MTU. */
#define MAX_SEND_BYTES 1200
#define MAX_RECEIVE_BYTES 1400

/* Sets a DWS_ERROR_FRAME with the malformed part; returns false. */
static bool set_error(GError **error, const char *part)
{
	g_set_error(
		error, DWS_ERROR, DWS_ERROR_FRAME,
		"datagram: malformed %s; check that all processes run the same "
		"version and that no other program uses the port",
		part);
	return false;
}

/* Copies an identifier; false if too long or not printable ASCII. */
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

/* Copies an address; false unless it is an IP address with a port. */
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

/* Validates and copies an update about a member. */
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

/* Validates and copies the document versions of the sender. */
static bool copy_versions(dws_membership_probe_t *probe, const Dws__Claim *from)
{
	if (!from)
		return true;
	if (from->config_digest.len != DWS_DIGEST_SIZE &&
	    from->config_digest.len != 0)
		return false;
	probe->has_versions = true;
	probe->versions.config_sequence = from->config_sequence;
	probe->versions.vms_revision = from->vms_revision;
	probe->versions.config_age_ms = from->config_age_ms;
	probe->versions.platform_age_ms =
		from->platform_answered ? from->platform_age_ms : UINT32_MAX;
	if (from->config_digest.len > 0)
		memcpy(probe->versions.config_digest, from->config_digest.data,
		       DWS_DIGEST_SIZE);
	return true;
}

/* Validates and copies a decoded probe. */
static bool copy_probe(dws_membership_probe_t *probe, const Dws__Probe *from,
		       GError **error)
{
	if ((unsigned int)from->type > DWS__PROBE__TYPE__NOTICE)
		return set_error(error, "type");
	probe->type = from->type;
	probe->sequence = from->sequence;
	if (!copy_update(&probe->sender, from->sender))
		return set_error(error, "sender");
	if (!copy_id(probe->target_vm, from->target_vm, true))
		return set_error(error, "target");
	if (from->type == DWS__PROBE__TYPE__PING_REQUEST &&
	    (!probe->target_vm[0] ||
	     !copy_address(&probe->target, from->target_ip, from->target_port)))
		return set_error(error, "target address");
	if (!copy_versions(probe, from->claim))
		return set_error(error, "document versions");
	if (from->n_updates > G_N_ELEMENTS(probe->updates))
		return set_error(error, "number of updates");
	for (size_t i = 0; i < from->n_updates; i++) {
		if (!copy_update(&probe->updates[i], from->updates[i]))
			return set_error(error, "update");
	}
	probe->update_count = (uint32_t)from->n_updates;
	return true;
}

/* Decodes and validates a datagram; false with an error if malformed. */
bool dws_membership_wire_parse(dws_membership_probe_t *probe,
			       const uint8_t *data, size_t size_bytes,
			       GError **error)
{
	memset(probe, 0, sizeof(*probe));
	if (size_bytes > MAX_RECEIVE_BYTES)
		return set_error(error, "size");
	Dws__Probe *decoded = dws__probe__unpack(NULL, size_bytes, data);

	if (!decoded)
		return set_error(error, "encoding");
	bool ok = copy_probe(probe, decoded, error);

	dws__probe__free_unpacked(decoded, NULL);
	return ok;
}

/* Fills in an update that borrows the strings of the member. */
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
	to->state = entry->gossip_state;
}

/* Returns an age of the own versions, advanced to now_us. */
static uint32_t age_ms_now(const dws_membership_t *membership, uint32_t age_ms)
{
	int64_t elapsed_ms =
		(membership->now_us - membership->versions_set_us) /
		DWS_US_PER_MS;

	if (age_ms == UINT32_MAX)
		return age_ms;
	if (elapsed_ms > (int64_t)(UINT32_MAX - 1 - age_ms))
		return UINT32_MAX - 1;
	return age_ms + (uint32_t)elapsed_ms;
}

/* Fills in the own document versions. */
static void fill_versions(Dws__Claim *to, dws_membership_t *membership)
{
	dws__claim__init(to);
	to->config_sequence = membership->versions.config_sequence;
	to->config_digest.data = membership->versions.config_digest;
	to->config_digest.len = DWS_DIGEST_SIZE;
	to->vms_revision = membership->versions.vms_revision;
	to->config_age_ms =
		age_ms_now(membership, membership->versions.config_age_ms);
	to->platform_answered =
		membership->versions.platform_age_ms != UINT32_MAX;
	if (to->platform_answered)
		to->platform_age_ms = age_ms_now(
			membership, membership->versions.platform_age_ms);
}

/* A probe under construction, with the storage of its parts. */
typedef struct builder {
	Dws__Probe probe;
	Dws__MemberUpdate sender;
	Dws__Claim versions;
	Dws__MemberUpdate parts[DWS_MEMBERSHIP_MAX_UPDATES];
	Dws__MemberUpdate *updates[DWS_MEMBERSHIP_MAX_UPDATES];
	const dws_membership_entry_t *entries[DWS_MEMBERSHIP_MAX_UPDATES];
	size_t size_bytes;
} builder_t;

/* Adds an update about a member; false if it does not fit. */
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
	/* The field tag and the length of an update take at most 3 bytes. */
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

/* Adds updates from the head of a queue, each at most once. */
static void add_queued(builder_t *builder, GQueue *queue)
{
	guint length = queue->length;

	for (guint i = 0; i < length && queue->head; i++) {
		dws_membership_entry_t *entry = queue->head->data;

		if (!add_update(builder, entry))
			return;
		dws_membership_table_count_send(entry);
	}
}

/* Adds random live members while there is space. */
static void add_random_members(builder_t *builder, dws_membership_t *membership)
{
	guint count = membership->entries->len;

	for (guint i = 0; i < 2 * DWS_MEMBERSHIP_MAX_UPDATES; i++) {
		guint index = dws_membership_random_index(membership, count);
		dws_membership_entry_t *entry =
			membership->entries->pdata[index];

		if (entry == membership->self ||
		    entry->gossip_state != DWS_MEMBER_ALIVE)
			continue;
		if (!add_update(builder, entry))
			return;
	}
}

/* Adds updates in order of priority, until the datagram is full. */
static void add_updates(builder_t *builder, dws_membership_t *membership,
			const dws_membership_message_t *message)
{
	if (message->receiver &&
	    message->receiver->gossip_state != DWS_MEMBER_ALIVE)
		add_update(builder, message->receiver);
	if (message->subject)
		add_update(builder, message->subject);
	add_queued(builder, &membership->leaving_queue);
	add_queued(builder, &membership->update_queue);
	if (message->include_unchanged)
		add_random_members(builder, membership);
}

/* Sends a probe with recent updates piggybacked. */
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
	fill_versions(&builder.versions, membership);
	builder.probe.claim = &builder.versions;
	builder.probe.updates = builder.updates;
	builder.size_bytes = dws__probe__get_packed_size(&builder.probe);
	add_updates(&builder, membership, message);
	size_t size_bytes = dws__probe__pack(&builder.probe, bytes);

	membership->ops->send(membership->context, to, bytes, size_bytes);
}
