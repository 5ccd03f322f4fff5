/*
 * Synchronisation of the configuration and the VM list.
 *
 * A few readers in each availability zone long-poll the platform, so the
 * number of platform calls grows with the number of zones and not with the
 * number of processes; see read_role.h for who reads. Membership datagrams
 * carry the version of each document that the sender has; a process that has an
 * older one pulls the document from the sender.
 */
#include "version/sync.h"
#include "connection/compress.h"
#include "connection/envelope.h"
#include <string.h>

#define READ_INTERVAL_US (50 * DWS_US_PER_MS)
/*
 * Minimum time between reads that return no change, in case the platform
 * answers at once instead of waiting.
 */
#define UNCHANGED_READ_INTERVAL_US (1 * DWS_US_PER_S)
#define READ_BACKOFF_FIRST_US (200 * DWS_US_PER_MS)
/* A stand-in adds its reads to those of the readers, which go on trying. */
#define STAND_IN_BACKOFF_FIRST_US (1 * DWS_US_PER_S)
#define READ_BACKOFF_MAX_US (5 * DWS_US_PER_S)
/* Shortest time between announcements of the platform's answers. */
#define ANNOUNCE_MIN_INTERVAL_US (100 * DWS_US_PER_MS)
/* An unanswered pull may be repeated, with any peer, after this time. */
#define PULL_INTERVAL_US (200 * DWS_US_PER_MS)
/*
 * Delay of a pull from another zone. The readers of the local zone usually
 * have the same version by then, which saves the cross-zone traffic.
 */
#define CROSS_ZONE_PULL_DELAY_US (150 * DWS_US_PER_MS)
/* Documents of this size or larger are sent compressed. */
#define COMPRESSED_MIN_BYTES 1024
/* Decompressed size limit: a snapshot and the entries after it. */
#define DECOMPRESSED_MAX_BYTES (2 * (size_t)DWS_CONFIG_MAX_BYTES)
/*
 * A datagram received within this time after a pause of the process may have
 * been queued before the pause, so its versions may be outdated.
 */
#define STALE_DATAGRAM_US (100 * DWS_US_PER_MS)

static uint64_t local_version(const dws_node_t *node, dws_platform_item_t item)
{
	if (item == DWS_PLATFORM_CONFIG)
		return dws_config_state_sequence(node->config_state);
	return dws_membership_list_revision(node->membership);
}

/*
 * A process reads an item from the platform if that is its role, or if it has
 * no version of the item yet.
 */
static bool should_read(const dws_node_t *node, dws_platform_item_t item)
{
	if (node->settings->platform.port == 0 || node->read_pending[item])
		return false;
	return dws_read_role_reads(&node->read_role) ||
	       local_version(node, item) == 0;
}

/* Requests from a peer what is newer than the local version of an item. */
static void pull(dws_node_t *node, const dws_address_t *from,
		 dws_platform_item_t item)
{
	Dws__Envelope envelope = DWS__ENVELOPE__INIT;
	Dws__Pull message = DWS__PULL__INIT;

	if (node->now_us - node->last_pull_us[item] < PULL_INTERVAL_US)
		return;
	node->last_pull_us[item] = node->now_us;
	message.item = item;
	message.after = local_version(node, item);
	envelope.body_case = DWS__ENVELOPE__BODY_PULL;
	envelope.pull = &message;
	dws_envelope_send(node, from, 0, &envelope, NULL);
}

/*
 * Sends the deferred pulls that are due, unless the local version has changed
 * since they were scheduled.
 */
static void send_deferred_pulls(dws_node_t *node)
{
	for (int i = 0; i < DWS_PLATFORM_ITEM_COUNT; i++) {
		dws_deferred_pull_t *deferred = &node->deferred_pulls[i];

		if (deferred->due_us == 0 || deferred->due_us > node->now_us)
			continue;
		deferred->due_us = 0;
		if (local_version(node, (dws_platform_item_t)i) ==
		    deferred->known_version)
			pull(node, &deferred->frame, (dws_platform_item_t)i);
	}
}

/* Begins or ends the time in which this process reads in place of others. */
static void update_read_role(dws_node_t *node)
{
	dws_read_role_t *role = &node->read_role;
	int64_t age_us = node->now_us - role->zone_answered_us;

	if (!dws_read_role_update(role, node->now_us,
				  dws_membership_reader_rank(node->membership),
				  dws_membership_zone_size(node->membership)))
		return;
	dws_node_log(node, DWS_LOG_INFO,
		     role->is_stand_in ? "platform_stand_in_started"
				       : "platform_stand_in_ended",
		     "rank=%u answer_age_ms=%" G_GINT64_FORMAT, role->rank,
		     (int64_t)(age_us / DWS_US_PER_MS));
	if (!role->is_stand_in)
		return;
	dws_count(node, DWS_COUNT_PLATFORM_STAND_INS);
	for (int i = 0; i < DWS_PLATFORM_ITEM_COUNT; i++) {
		node->read_due_us[i] = node->now_us;
		node->read_backoff_us[i] = 0;
	}
}

void dws_sync_tick(dws_node_t *node)
{
	send_deferred_pulls(node);
	update_read_role(node);
	for (int i = 0; i < DWS_PLATFORM_ITEM_COUNT; i++) {
		dws_platform_item_t item = (dws_platform_item_t)i;
		uint64_t after = local_version(node, item);

		if (!should_read(node, item) ||
		    node->now_us < node->read_due_us[i])
			continue;
		node->read_pending[i] = true;
		node->read_started_us[i] = node->now_us;
		dws_count(node, DWS_COUNT_PLATFORM_READS);
		node->io->ops->read_platform(
			node->io, item, after,
			after ? dws_read_role_wait_ms(&node->read_role, item,
						      node->now_us)
			      : 0);
	}
}

int64_t dws_sync_due_us(const dws_node_t *node)
{
	int64_t due_us = dws_read_role_due_us(&node->read_role);

	for (int i = 0; i < DWS_PLATFORM_ITEM_COUNT; i++) {
		if (should_read(node, (dws_platform_item_t)i))
			due_us = MIN(due_us, node->read_due_us[i]);
		if (node->deferred_pulls[i].due_us != 0)
			due_us = MIN(due_us, node->deferred_pulls[i].due_us);
	}
	return due_us;
}

void dws_sync_set_versions(dws_node_t *node)
{
	int64_t age_ms =
		(node->now_us - node->config_confirmed_us) / DWS_US_PER_MS;
	dws_document_versions_t advertised = {
		.config_sequence =
			dws_config_state_sequence(node->config_state),
		.vms_revision = dws_membership_list_revision(node->membership),
		.config_age_ms = UINT32_MAX,
		.platform_age_ms = UINT32_MAX,
	};

	if (dws_read_role_announces(&node->read_role))
		advertised.platform_age_ms =
			dws_read_role_age_ms(&node->read_role, node->now_us);
	if (node->config_confirmed_us != DWS_NEVER_CONFIRMED)
		advertised.config_age_ms =
			(uint32_t)CLAMP(age_ms, 0, UINT32_MAX - 1);
	memcpy(advertised.config_digest,
	       dws_config_state_digest(node->config_state),
	       sizeof(advertised.config_digest));
	dws_membership_set_versions(node->membership, &advertised);
}

static void log_verdicts(dws_node_t *node, uint64_t after)
{
	const GArray *verdicts = dws_config_state_verdicts(node->config_state);

	for (guint i = 0; i < verdicts->len; i++) {
		const dws_verdict_t *verdict =
			&g_array_index(verdicts, dws_verdict_t, i);

		if (verdict->sequence <= after)
			continue;
		dws_count(node, verdict->accepted ? DWS_COUNT_CONFIG_ACCEPTED
						  : DWS_COUNT_CONFIG_REJECTED);
		dws_node_log(node, DWS_LOG_INFO, "config_verdict",
			     "sequence=%" G_GUINT64_FORMAT
			     " accepted=%s reason=\"%s\"",
			     verdict->sequence,
			     verdict->accepted ? "true" : "false",
			     verdict->reason ? verdict->reason : "");
	}
}

/*
 * Applies a log of patches. If the sequence advanced, the new versions are
 * announced to the members at once. False if the log is invalid, older than
 * the local sequence, or leaves a gap; true also on a conflict.
 */
static bool apply_config(dws_node_t *node, const char *text, size_t size_bytes,
			 const char *source)
{
	dws_apply_result_t result = {0};
	GError *error = NULL;
	uint64_t before = dws_config_state_sequence(node->config_state);

	if (!dws_config_state_apply_log(node->config_state, text, size_bytes,
					&result, &error)) {
		dws_count(node, DWS_COUNT_CONFIG_INVALID);
		dws_node_log(node, DWS_LOG_ERROR, "config_invalid",
			     "kind=%s error=\"%s\"",
			     dws_error_name((dws_error_t)error->code),
			     error->message);
		g_error_free(error);
		return false;
	}
	if (result.older)
		dws_count(node, DWS_COUNT_CONFIG_OLDER);
	if (result.conflict)
		dws_count(node, DWS_COUNT_CONFIG_CONFLICTS);
	if (result.conflict || result.gap)
		dws_node_log(node, DWS_LOG_ERROR, "config_conflict",
			     "sequence=%" G_GUINT64_FORMAT
			     " conflict=%d gap=%d",
			     before, result.conflict, result.gap);
	if (result.changed)
		dws_node_log(node, DWS_LOG_INFO, "config_in_force",
			     "version=%" G_GUINT64_FORMAT
			     " before=%" G_GUINT64_FORMAT " source=%s",
			     dws_config_state_version(node->config_state),
			     before, source);
	if (result.advanced) {
		log_verdicts(node, before);
		dws_sync_set_versions(node);
		dws_membership_broadcast_versions(node->membership,
						  node->now_us);
		node->recheck_held = true;
	}
	return !result.older && !result.gap;
}

static bool apply_vms(dws_node_t *node, const char *text, size_t size_bytes)
{
	GError *error = NULL;
	uint64_t before = dws_membership_list_revision(node->membership);

	if (!dws_membership_apply_list(node->membership, node->now_us, text,
				       size_bytes, &error)) {
		dws_node_log(node, DWS_LOG_ERROR, "vm_list_invalid",
			     "kind=%s error=\"%s\"",
			     dws_error_name((dws_error_t)error->code),
			     error->message);
		g_error_free(error);
		return false;
	}
	if (dws_membership_list_revision(node->membership) > before) {
		dws_sync_set_versions(node);
		dws_membership_broadcast_versions(node->membership,
						  node->now_us);
		node->recheck_held = true;
	}
	return true;
}

static bool apply_document(dws_node_t *node, dws_platform_item_t item,
			   const char *text, size_t size_bytes,
			   const char *source)
{
	if (item == DWS_PLATFORM_CONFIG)
		return apply_config(node, text, size_bytes, source);
	return apply_vms(node, text, size_bytes);
}

/* Records that the local configuration was the newest one at the given time. */
static void confirm_config(dws_node_t *node, int64_t when_us)
{
	if (dws_config_state_sequence(node->config_state) != 0)
		node->config_confirmed_us =
			MAX(node->config_confirmed_us, when_us);
}

/*
 * Ends the catch-up phase after a start or a pause, once the local versions
 * have been compared with outside sources. After a start, a platform answer
 * alone may be stale and a peer alone may have just started itself, so both
 * must have answered if both are configured.
 */
static void end_catch_up(dws_node_t *node)
{
	const dws_settings_t *settings = node->settings;
	bool platform_done =
		node->platform_answered || settings->platform.port == 0;
	bool peers_done = node->peer_answered || settings->seed_count == 0;

	if (platform_done && peers_done &&
	    node->now_us - node->pause_detected_us > STALE_DATAGRAM_US)
		node->catch_up_until_us = node->now_us;
}

/*
 * Schedules the read after a successful one. A process that reads only because
 * it has no version yet backs off exponentially while nothing is published, so
 * that a whole fleet started before the first publication stays within the
 * platform's rate limit.
 */
static void schedule_next_read(dws_node_t *node, dws_platform_item_t item,
			       bool had_update)
{
	int64_t *backoff_us = &node->read_backoff_us[item];
	int64_t due_us = node->now_us + READ_INTERVAL_US;

	if (had_update || dws_read_role_reads(&node->read_role)) {
		*backoff_us = 0;
		if (!had_update)
			due_us =
				MAX(due_us, node->read_started_us[item] +
						    UNCHANGED_READ_INTERVAL_US);
	} else {
		*backoff_us = CLAMP(*backoff_us * 2, UNCHANGED_READ_INTERVAL_US,
				    READ_BACKOFF_MAX_US);
		due_us +=
			(int64_t)(*backoff_us *
				  g_rand_double_range(node->random, 0.5, 1.0));
	}
	node->read_due_us[item] = due_us;
}

/*
 * Announces an answer of the platform to the stand-bys. One answer may complete
 * the reads of both items.
 */
static void announce_answer(dws_node_t *node)
{
	if (!dws_read_role_announces(&node->read_role) ||
	    node->now_us - node->announced_us < ANNOUNCE_MIN_INTERVAL_US)
		return;
	node->announced_us = node->now_us;
	dws_sync_set_versions(node);
	dws_membership_notify_stand_bys(node->membership, node->now_us);
}

/* Schedules the read after a failed one, with exponential backoff. */
static void schedule_retry(dws_node_t *node, dws_platform_item_t item)
{
	int64_t *backoff_us = &node->read_backoff_us[item];
	int64_t first_us = node->read_role.is_stand_in
				   ? STAND_IN_BACKOFF_FIRST_US
				   : READ_BACKOFF_FIRST_US;

	*backoff_us = CLAMP(*backoff_us * 2, first_us, READ_BACKOFF_MAX_US);
	node->read_due_us[item] =
		node->now_us +
		(int64_t)(*backoff_us *
			  g_rand_double_range(node->random, 0.5, 1.0));
}

/*
 * Schedules the reads after one that the platform has not answered: of all items
 * at the same time, as one request may serve them all.
 */
static void schedule_retries(dws_node_t *node, dws_platform_item_t item)
{
	schedule_retry(node, item);
	for (int i = 0; i < DWS_PLATFORM_ITEM_COUNT; i++) {
		if (!node->read_pending[i])
			node->read_due_us[i] = node->read_due_us[item];
	}
}

/*
 * Handles the result of a platform read: unchanged, a new document, or a
 * failure. A failed read is retried with exponential backoff.
 */
void dws_sync_on_platform_read_finished(dws_node_t *node,
					dws_platform_item_t item, bool ok,
					const char *text, size_t size_bytes)
{
	node->read_pending[item] = false;
	if (!ok) {
		dws_count(node, DWS_COUNT_PLATFORM_FAILURES);
		schedule_retries(node, item);
		return;
	}
	dws_read_role_on_answer(&node->read_role, item, node->now_us);
	if (text) {
		ok = apply_document(node, item, text, size_bytes, "platform");
		if (item == DWS_PLATFORM_CONFIG)
			node->config_rejected = !ok;
	}
	announce_answer(node);
	if (!ok) {
		dws_count(node, DWS_COUNT_PLATFORM_FAILURES);
		schedule_retry(node, item);
		return;
	}
	schedule_next_read(node, item, text != NULL);
	if (item == DWS_PLATFORM_CONFIG) {
		node->platform_answered = true;
		/* A rejected document is newer than the active one. */
		if (!node->config_rejected)
			confirm_config(node, node->now_us);
		end_catch_up(node);
	}
}

/*
 * True if another member of the local zone is alive, which is likely to get
 * a new version without a pull across zones.
 */
static bool has_zone_peers(const dws_node_t *node)
{
	const dws_member_t *self = dws_membership_self(node->membership);
	const GPtrArray *all = dws_membership_all(node->membership);

	for (guint i = 0; i < all->len; i++) {
		const dws_member_t *member = all->pdata[i];

		if (member != self && member->state == DWS_MEMBER_ALIVE &&
		    strcmp(member->zone, self->zone) == 0)
			return true;
	}
	return false;
}

/*
 * Pulls a newer version from the member that advertised it. Traffic between
 * zones costs more than a short delay, so a pull from another zone is deferred,
 * and sent only if the local version is still the same then. A process without
 * any version pulls from any member at once.
 */
static void schedule_pull(dws_node_t *node, const dws_member_t *sender,
			  const dws_address_t *frame, dws_platform_item_t item)
{
	dws_deferred_pull_t *deferred = &node->deferred_pulls[item];
	const dws_member_t *self = dws_membership_self(node->membership);
	bool is_cross_zone = sender && strcmp(sender->zone, self->zone) != 0;

	if (!is_cross_zone || local_version(node, item) == 0 ||
	    !has_zone_peers(node)) {
		pull(node, frame, item);
		return;
	}
	if (deferred->due_us != 0)
		return;
	deferred->due_us = node->now_us + CROSS_ZONE_PULL_DELAY_US;
	deferred->frame = *frame;
	deferred->known_version = local_version(node, item);
}

/* Records an answer of the platform that a member of this zone announces. */
static void on_announcement(dws_node_t *node, const dws_member_t *sender,
			    uint32_t age_ms)
{
	const dws_member_t *self = dws_membership_self(node->membership);

	if (age_ms == UINT32_MAX || !sender ||
	    strcmp(sender->zone, self->zone) != 0)
		return;
	dws_read_role_on_announcement(
		&node->read_role,
		dws_membership_is_preferred_reader(node->membership, sender),
		node->now_us - dws_node_buffered_us(node) -
			age_ms * DWS_US_PER_MS);
}

/*
 * Pulls each item that the peer has in a newer version. The same configuration
 * sequence with another digest is reported as a conflict; with the same digest,
 * the peer's confirmation time counts for the local version too.
 */
void dws_sync_on_versions(dws_node_t *node, const char *vm_id,
			  const dws_address_t *frame,
			  const dws_document_versions_t *advertised)
{
	uint64_t sequence = dws_config_state_sequence(node->config_state);
	const dws_member_t *sender =
		dws_membership_find(node->membership, vm_id);

	on_announcement(node, sender, advertised->platform_age_ms);
	if (advertised->config_sequence > sequence)
		schedule_pull(node, sender, frame, DWS_PLATFORM_CONFIG);
	if (advertised->vms_revision > local_version(node, DWS_PLATFORM_VMS))
		schedule_pull(node, sender, frame, DWS_PLATFORM_VMS);
	if (advertised->config_sequence == 0 ||
	    advertised->config_sequence > sequence)
		return;
	node->peer_answered = true;
	end_catch_up(node);
	if (advertised->config_sequence < sequence)
		return;
	if (memcmp(advertised->config_digest,
		   dws_config_state_digest(node->config_state),
		   sizeof(advertised->config_digest)) != 0) {
		dws_count(node, DWS_COUNT_CONFIG_CONFLICTS);
		dws_node_log(node, DWS_LOG_ERROR, "config_conflict",
			     "sequence=%" G_GUINT64_FORMAT " peer=%s:%u",
			     sequence, frame->ip, frame->port);
		return;
	}
	if (advertised->config_age_ms != UINT32_MAX)
		confirm_config(node, node->now_us - advertised->config_age_ms *
							    DWS_US_PER_MS);
}

/* Sends a peer what is newer than its version; nothing if there is none. */
void dws_sync_on_pull(dws_node_t *node, const dws_origin_t *from,
		      const Dws__Pull *request)
{
	Dws__Envelope envelope = DWS__ENVELOPE__INIT;
	Dws__Document document = DWS__DOCUMENT__INIT;
	size_t size_bytes = 0, compressed_size_bytes = 0;
	char *log = NULL;
	const char *text = NULL;
	uint8_t *compressed = NULL;

	if (request->item == DWS_PLATFORM_CONFIG) {
		log = dws_config_state_log_after(node->config_state,
						 request->after, &size_bytes);
		text = log;
	} else if (request->item == DWS_PLATFORM_VMS &&
		   dws_membership_list_revision(node->membership) >
			   request->after) {
		text = dws_membership_list_text(node->membership, &size_bytes);
	}
	if (!text)
		return;
	if (size_bytes >= COMPRESSED_MIN_BYTES)
		compressed =
			dws_compress(text, size_bytes, &compressed_size_bytes);
	document.item = request->item;
	document.text.data = compressed ? compressed : (uint8_t *)text;
	document.text.len = compressed ? compressed_size_bytes : size_bytes;
	document.plain_bytes = compressed ? (uint32_t)size_bytes : 0;
	envelope.body_case = DWS__ENVELOPE__BODY_DOCUMENT;
	envelope.document = &document;
	dws_envelope_send(node, &from->frame, from->epoch, &envelope, NULL);
	g_free(compressed);
	g_free(log);
}

/* Applies a document from a peer, decompressed if needed. */
static bool apply_peer_document(dws_node_t *node, const dws_origin_t *from,
				const Dws__Document *document)
{
	dws_platform_item_t item = (dws_platform_item_t)document->item;
	char *decompressed;
	bool ok;

	if (document->plain_bytes == 0)
		return apply_document(node, item,
				      (const char *)document->text.data,
				      document->text.len, from->vm_id);
	decompressed =
		dws_decompress(document->text.data, document->text.len,
			       document->plain_bytes, DECOMPRESSED_MAX_BYTES);
	if (!decompressed) {
		dws_count(node, DWS_COUNT_BAD_MESSAGES);
		dws_node_log(node, DWS_LOG_ERROR, "document_malformed",
			     "from=%s item=%u bytes=%zu", from->vm_id,
			     document->item, document->text.len);
		return false;
	}
	ok = apply_document(node, item, decompressed, document->plain_bytes,
			    from->vm_id);
	g_free(decompressed);
	return ok;
}

/*
 * Handles a document that was pulled from a peer. The next pull of the item
 * may be sent at once.
 */
void dws_sync_on_document(dws_node_t *node, const dws_origin_t *from,
			  const Dws__Document *document)
{
	if (document->item >= DWS_PLATFORM_ITEM_COUNT)
		return;
	dws_platform_item_t item = (dws_platform_item_t)document->item;

	node->last_pull_us[item] = node->now_us - PULL_INTERVAL_US;
	if (apply_peer_document(node, from, document) &&
	    item == DWS_PLATFORM_CONFIG) {
		node->peer_answered = true;
		end_catch_up(node);
	}
}
