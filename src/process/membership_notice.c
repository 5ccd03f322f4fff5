/*
 * Notices: updates that are sent at once to a few members, of each zone or those
 * that stand by to read the platform, instead of being piggybacked on the next
 * probe.
 */
#include "process/membership_wire.h"

#include <string.h>

#define OWN_ZONE_NOTICES 4
#define OTHER_ZONE_NOTICES 1
#define MAX_NOTICE_ZONES 32
#define RANKED_COUNT (DWS_READERS_PER_ZONE + DWS_STAND_BYS_PER_ZONE)

/* A random sample of the members of a zone. */
typedef struct zone_sample {
	const char *zone;
	guint member_count; /* members of the zone considered so far */
	guint sample_size;
	dws_membership_entry_t *entries[OWN_ZONE_NOTICES];
} zone_sample_t;

/* Returns the sample of a zone; NULL if there are too many zones. */
static zone_sample_t *find_sample(zone_sample_t *samples, guint *count,
				  const dws_membership_t *membership,
				  const char *zone)
{
	for (guint i = 0; i < *count; i++) {
		if (strcmp(samples[i].zone, zone) == 0)
			return &samples[i];
	}
	if (*count == MAX_NOTICE_ZONES)
		return NULL;
	zone_sample_t *sample = &samples[(*count)++];

	memset(sample, 0, sizeof(*sample));
	sample->zone = zone;
	sample->sample_size = strcmp(zone, membership->self->member.zone) == 0
				      ? OWN_ZONE_NOTICES
				      : OTHER_ZONE_NOTICES;
	return sample;
}

/* Adds a member to a uniform sample of its zone (reservoir sampling). */
static void add_to_sample(dws_membership_t *membership, zone_sample_t *sample,
			  dws_membership_entry_t *entry)
{
	guint index = sample->member_count++;

	if (index >= sample->sample_size)
		index = dws_membership_random_index(membership,
						    sample->member_count);
	if (index < sample->sample_size)
		sample->entries[index] = entry;
}

/*
 * Sends a notice to OWN_ZONE_NOTICES live members of this zone and to
 * OTHER_ZONE_NOTICES of each other zone.
 */
void dws_membership_send_notices(dws_membership_t *membership,
				 dws_membership_entry_t *subject)
{
	dws_membership_message_t message = {
		.type = DWS__PROBE__TYPE__NOTICE,
		.target_vm = "",
		.subject = subject,
	};
	zone_sample_t samples[MAX_NOTICE_ZONES];
	guint count = 0;

	for (guint i = 0; i < membership->entries->len; i++) {
		dws_membership_entry_t *entry = membership->entries->pdata[i];

		if (entry == membership->self ||
		    entry->member.state != DWS_MEMBER_ALIVE)
			continue;
		zone_sample_t *sample = find_sample(samples, &count, membership,
						    entry->member.zone);

		if (sample)
			add_to_sample(membership, sample, entry);
	}
	for (guint i = 0; i < count; i++) {
		for (guint j = 0;
		     j < MIN(samples[i].member_count, samples[i].sample_size);
		     j++)
			dws_membership_wire_send(
				membership,
				&samples[i].entries[j]->member.datagram,
				&message);
	}
}

/* Inserts a member into a list in order of rank; the last one may drop out. */
static void insert_ranked(dws_membership_entry_t *ranked[RANKED_COUNT],
			  dws_membership_entry_t *entry)
{
	for (guint i = 0; i < RANKED_COUNT && entry; i++) {
		dws_membership_entry_t *next = ranked[i];

		if (next && next->reader_hash < entry->reader_hash)
			continue;
		ranked[i] = entry;
		entry = next;
	}
}

void dws_membership_send_stand_by_notices(dws_membership_t *membership)
{
	dws_membership_message_t message = {
		.type = DWS__PROBE__TYPE__NOTICE,
		.target_vm = "",
	};
	dws_membership_entry_t *ranked[RANKED_COUNT] = {NULL};
	uint64_t own_hash = membership->self->reader_hash;

	for (guint i = 0; i < membership->entries->len; i++) {
		dws_membership_entry_t *entry = membership->entries->pdata[i];

		if (dws_membership_table_is_reader_candidate(membership, entry))
			insert_ranked(ranked, entry);
	}
	for (guint i = DWS_READERS_PER_ZONE; i < RANKED_COUNT; i++) {
		if (ranked[i] && ranked[i]->reader_hash > own_hash)
			dws_membership_wire_send(membership,
						 &ranked[i]->member.datagram,
						 &message);
	}
}
