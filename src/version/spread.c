/*
 * How configuration and the VM list reach this process.
 *
 * A few readers in each availability zone keep a waiting read at the
 * platform, so its calls grow with the zones and not with the fleet. All
 * learn from the numbers that ride on membership datagrams what is new, and
 * pull it from the process that claimed it.
 */
#include "version/spread.h"
#include "connection/compress.h"
#include "connection/envelope.h"
#include <string.h>

#define READ_WAIT_MS 10000
#define READ_PACE_US (50 * DWS_US_PER_MS)
/* Least time between reads without news, if the platform doesn't wait. */
#define NO_NEWS_PACE_US (1 * DWS_US_PER_S)
#define READ_BACKOFF_FIRST_US (200 * DWS_US_PER_MS)
#define READ_BACKOFF_MAX_US (5 * DWS_US_PER_S)
/* A pull that has no answer after this may be sent to another peer. */
#define PULL_PACE_US (200 * DWS_US_PER_MS)
/*
 * News that a member of another zone claims is pulled from there only after
 * this, as the readers of the own zone mostly have it by then.
 */
#define FAR_PULL_DELAY_US (150 * DWS_US_PER_MS)
/* Documents from this size on are compressed on their way. */
#define COMPRESSED_MIN_BYTES 1024
/* A log is a snapshot and the entries after it. */
#define PLAIN_MAX_BYTES (2 * (size_t)DWS_CONFIG_MAX_BYTES)
/* Claims this soon after a pause may have been sent before it. */
#define STALE_CLAIM_US (100 * DWS_US_PER_MS)

static uint64_t known_number(const dws_node_t *node, dws_platform_item_t item)
{
	if (item == DWS_PLATFORM_CONFIG)
		return dws_fold_sequence(node->fold);
	return dws_membership_revision(node->membership);
}

/* A process reads while it is a reader of its zone, or knows nothing yet. */
static bool wants_read(const dws_node_t *node, dws_platform_item_t item)
{
	if (node->settings->platform.port == 0 || node->reading[item])
		return false;
	return dws_membership_is_reader(node->membership) ||
	       known_number(node, item) == 0;
}

/* Asks a peer for what it has after the own number. */
static void pull(dws_node_t *node, const dws_address_t *from,
		 dws_platform_item_t item)
{
	Dws__Envelope envelope = DWS__ENVELOPE__INIT;
	Dws__Pull message = DWS__PULL__INIT;

	if (node->now_us - node->pulled_us[item] < PULL_PACE_US)
		return;
	node->pulled_us[item] = node->now_us;
	message.item = item;
	message.after = known_number(node, item);
	envelope.body_case = DWS__ENVELOPE__BODY_PULL;
	envelope.pull = &message;
	dws_envelope_send(node, from, 0, &envelope);
}

/* Asks members of other zones for what the own zone did not bring. */
static void pull_far(dws_node_t *node)
{
	for (int i = 0; i < DWS_PLATFORM_ITEM_COUNT; i++) {
		dws_far_pull_t *far = &node->far_pulls[i];

		if (far->due_us == 0 || far->due_us > node->now_us)
			continue;
		far->due_us = 0;
		if (known_number(node, (dws_platform_item_t)i) == far->known)
			pull(node, &far->frame, (dws_platform_item_t)i);
	}
}

/* Starts reads and pulls that are due. */
void dws_spread_tick(dws_node_t *node)
{
	pull_far(node);
	for (int i = 0; i < DWS_PLATFORM_ITEM_COUNT; i++) {
		dws_platform_item_t item = (dws_platform_item_t)i;
		uint64_t after = known_number(node, item);

		if (!wants_read(node, item) ||
		    node->now_us < node->read_due_us[i])
			continue;
		node->reading[i] = true;
		node->read_started_us[i] = node->now_us;
		dws_count(node, DWS_COUNT_PLATFORM_READS);
		node->io->ops->read_platform(node->io, item, after,
					     after ? READ_WAIT_MS : 0);
	}
}

/* When dws_spread_tick() is to be called next. */
int64_t dws_spread_due_us(const dws_node_t *node)
{
	int64_t due_us = DWS_NEVER_US;

	for (int i = 0; i < DWS_PLATFORM_ITEM_COUNT; i++) {
		if (wants_read(node, (dws_platform_item_t)i))
			due_us = MIN(due_us, node->read_due_us[i]);
		if (node->far_pulls[i].due_us != 0)
			due_us = MIN(due_us, node->far_pulls[i].due_us);
	}
	return due_us;
}

/* Sets what this process claims about the platform's documents. */
void dws_spread_set_claim(dws_node_t *node)
{
	int64_t age_ms =
		(node->now_us - node->config_confirmed_us) / DWS_US_PER_MS;
	dws_claim_t claim = {
		.config_sequence = dws_fold_sequence(node->fold),
		.vms_revision = dws_membership_revision(node->membership),
		.config_age_ms = UINT32_MAX,
	};

	if (node->config_confirmed_us != DWS_NEVER_CONFIRMED)
		claim.config_age_ms =
			(uint32_t)CLAMP(age_ms, 0, UINT32_MAX - 1);
	memcpy(claim.config_digest, dws_fold_digest(node->fold),
	       sizeof(claim.config_digest));
	dws_membership_set_claim(node->membership, &claim);
}

static void log_verdicts(dws_node_t *node, uint64_t after)
{
	const GArray *verdicts = dws_fold_verdicts(node->fold);

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

/* Takes a log of patches; tells members at once if it brought news. */
static bool offer_config(dws_node_t *node, const char *text, size_t size_bytes,
			 const char *source)
{
	dws_fold_result_t result = {0};
	GError *error = NULL;
	uint64_t before = dws_fold_sequence(node->fold);

	if (!dws_fold_offer(node->fold, text, size_bytes, &result, &error)) {
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
			     dws_fold_version(node->fold), before, source);
	if (result.advanced) {
		log_verdicts(node, before);
		dws_spread_set_claim(node);
		dws_membership_announce(node->membership, node->now_us);
		node->holds_dirty = true;
	}
	return !result.older && !result.gap;
}

static bool offer_vms(dws_node_t *node, const char *text, size_t size_bytes)
{
	GError *error = NULL;
	uint64_t before = dws_membership_revision(node->membership);

	if (!dws_membership_offer_list(node->membership, node->now_us, text,
				       size_bytes, &error)) {
		dws_node_log(node, DWS_LOG_ERROR, "vm_list_invalid",
			     "kind=%s error=\"%s\"",
			     dws_error_name((dws_error_t)error->code),
			     error->message);
		g_error_free(error);
		return false;
	}
	if (dws_membership_revision(node->membership) > before) {
		dws_spread_set_claim(node);
		dws_membership_announce(node->membership, node->now_us);
		node->holds_dirty = true;
	}
	return true;
}

static bool offer(dws_node_t *node, dws_platform_item_t item, const char *text,
		  size_t size_bytes, const char *source)
{
	if (item == DWS_PLATFORM_CONFIG)
		return offer_config(node, text, size_bytes, source);
	return offer_vms(node, text, size_bytes);
}

/* Takes it that the own version was the newest at the given time. */
static void confirm_config(dws_node_t *node, int64_t when_us)
{
	if (dws_fold_sequence(node->fold) != 0)
		node->config_confirmed_us =
			MAX(node->config_confirmed_us, when_us);
}

/*
 * Word from outside has come since a start or a pause: what is known can be
 * trusted. After a start, the platform alone may be stale and a peer alone
 * may have just started, so both must have spoken if there are both.
 */
static void end_catch_up(dws_node_t *node)
{
	const dws_settings_t *settings = node->settings;
	bool platform_done =
		node->platform_answered || settings->platform.port == 0;
	bool peers_done = node->peer_answered || settings->seed_count == 0;

	if (platform_done && peers_done &&
	    node->now_us - node->gap_seen_us > STALE_CLAIM_US)
		node->catch_up_until_us = node->now_us;
}

/*
 * Plans the read after one that went well. A process that reads only because
 * it knows nothing yet asks ever more rarely while there is nothing, so that a
 * whole fleet that starts before anything is published stays within the
 * platform's rate.
 */
static void plan_next_read(dws_node_t *node, dws_platform_item_t item,
			   bool had_news)
{
	int64_t *backoff_us = &node->read_backoff_us[item];
	int64_t due_us = node->now_us + READ_PACE_US;

	if (had_news || dws_membership_is_reader(node->membership)) {
		*backoff_us = 0;
		if (!had_news)
			due_us = MAX(due_us, node->read_started_us[item] +
						     NO_NEWS_PACE_US);
	} else {
		*backoff_us = CLAMP(*backoff_us * 2, NO_NEWS_PACE_US,
				    READ_BACKOFF_MAX_US);
		due_us +=
			(int64_t)(*backoff_us *
				  g_rand_double_range(node->random, 0.5, 1.0));
	}
	node->read_due_us[item] = due_us;
}

/*
 * Ends a read of the platform: without news, with a document, or failed. A
 * failed read is tried again after an exponential delay.
 */
void dws_spread_on_platform_read(dws_node_t *node, dws_platform_item_t item,
				 bool ok, const char *text, size_t size_bytes)
{
	int64_t *backoff_us = &node->read_backoff_us[item];

	node->reading[item] = false;
	if (ok && text) {
		ok = offer(node, item, text, size_bytes, "platform");
		if (item == DWS_PLATFORM_CONFIG)
			node->config_refused = !ok;
	}
	if (!ok) {
		dws_count(node, DWS_COUNT_PLATFORM_FAILURES);
		*backoff_us = CLAMP(*backoff_us * 2, READ_BACKOFF_FIRST_US,
				    READ_BACKOFF_MAX_US);
		node->read_due_us[item] =
			node->now_us +
			(int64_t)(*backoff_us *
				  g_rand_double_range(node->random, 0.5, 1.0));
		return;
	}
	plan_next_read(node, item, text != NULL);
	if (item == DWS_PLATFORM_CONFIG) {
		node->platform_answered = true;
		/* What was refused is newer than what is in force. */
		if (!node->config_refused)
			confirm_config(node, node->now_us);
		end_catch_up(node);
	}
}

/* True if another member of the own zone is likely to get news by itself. */
static bool has_near_peers(const dws_node_t *node)
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
 * Pulls news from the member that claims it. Bytes between zones cost more than
 * a short delay, so a member of another zone is asked later, if the news is
 * still lacking then. A process that knows nothing asks whom it can.
 */
static void pull_from(dws_node_t *node, const dws_member_t *claimer,
		      const dws_address_t *frame, dws_platform_item_t item)
{
	dws_far_pull_t *far = &node->far_pulls[item];
	const dws_member_t *self = dws_membership_self(node->membership);
	bool is_far = claimer && strcmp(claimer->zone, self->zone) != 0;

	if (!is_far || known_number(node, item) == 0 || !has_near_peers(node)) {
		pull(node, frame, item);
		return;
	}
	if (far->due_us != 0)
		return;
	far->due_us = node->now_us + FAR_PULL_DELAY_US;
	far->frame = *frame;
	far->known = known_number(node, item);
}

/* Compares a peer's claim with what is known here; pulls what is newer. */
void dws_spread_on_claim(dws_node_t *node, const char *vm_id,
			 const dws_address_t *frame, const dws_claim_t *claim)
{
	uint64_t sequence = dws_fold_sequence(node->fold);
	const dws_member_t *claimer =
		dws_membership_find(node->membership, vm_id);

	if (claim->config_sequence > sequence)
		pull_from(node, claimer, frame, DWS_PLATFORM_CONFIG);
	if (claim->vms_revision > known_number(node, DWS_PLATFORM_VMS))
		pull_from(node, claimer, frame, DWS_PLATFORM_VMS);
	if (claim->config_sequence == 0 || claim->config_sequence > sequence)
		return;
	node->peer_answered = true;
	end_catch_up(node);
	if (claim->config_sequence < sequence)
		return;
	if (memcmp(claim->config_digest, dws_fold_digest(node->fold),
		   sizeof(claim->config_digest)) != 0) {
		dws_count(node, DWS_COUNT_CONFIG_CONFLICTS);
		dws_node_log(node, DWS_LOG_ERROR, "config_conflict",
			     "sequence=%" G_GUINT64_FORMAT " peer=%s:%u",
			     sequence, frame->ip, frame->port);
		return;
	}
	if (claim->config_age_ms != UINT32_MAX)
		confirm_config(node, node->now_us - claim->config_age_ms *
							    DWS_US_PER_MS);
}

/* Gives a peer what it lacks. */
void dws_spread_on_pull(dws_node_t *node, const dws_origin_t *from,
			const Dws__Pull *request)
{
	Dws__Envelope envelope = DWS__ENVELOPE__INIT;
	Dws__Document document = DWS__DOCUMENT__INIT;
	size_t size_bytes = 0, compressed_bytes = 0;
	char *log = NULL;
	const char *text = NULL;
	uint8_t *compressed = NULL;

	if (request->item == DWS_PLATFORM_CONFIG) {
		log = dws_fold_log_after(node->fold, request->after,
					 &size_bytes);
		text = log;
	} else if (request->item == DWS_PLATFORM_VMS &&
		   dws_membership_revision(node->membership) > request->after) {
		text = dws_membership_list_text(node->membership, &size_bytes);
	}
	if (!text)
		return;
	if (size_bytes >= COMPRESSED_MIN_BYTES)
		compressed = dws_compress(text, size_bytes, &compressed_bytes);
	document.item = request->item;
	document.text.data = compressed ? compressed : (uint8_t *)text;
	document.text.len = compressed ? compressed_bytes : size_bytes;
	document.plain_bytes = compressed ? (uint32_t)size_bytes : 0;
	envelope.body_case = DWS__ENVELOPE__BODY_DOCUMENT;
	envelope.document = &document;
	dws_envelope_send(node, &from->frame, from->epoch, &envelope);
	g_free(compressed);
	g_free(log);
}

/* Takes the text of a document, restored. */
static bool take_document(dws_node_t *node, const dws_origin_t *from,
			  const Dws__Document *document)
{
	dws_platform_item_t item = (dws_platform_item_t)document->item;
	char *plain;
	bool ok;

	if (document->plain_bytes == 0)
		return offer(node, item, (const char *)document->text.data,
			     document->text.len, from->vm_id);
	plain = dws_decompress(document->text.data, document->text.len,
			       document->plain_bytes, PLAIN_MAX_BYTES);
	if (!plain) {
		dws_count(node, DWS_COUNT_BAD_MESSAGES);
		dws_node_log(node, DWS_LOG_ERROR, "document_malformed",
			     "from=%s item=%u bytes=%zu", from->vm_id,
			     document->item, document->text.len);
		return false;
	}
	ok = offer(node, item, plain, document->plain_bytes, from->vm_id);
	g_free(plain);
	return ok;
}

/* Takes a document that was pulled from a peer. */
void dws_spread_on_document(dws_node_t *node, const dws_origin_t *from,
			    const Dws__Document *document)
{
	if (document->item >= DWS_PLATFORM_ITEM_COUNT)
		return;
	dws_platform_item_t item = (dws_platform_item_t)document->item;

	node->pulled_us[item] = node->now_us - PULL_PACE_US;
	if (take_document(node, from, document) &&
	    item == DWS_PLATFORM_CONFIG) {
		node->peer_answered = true;
		end_catch_up(node);
	}
}
