/*
 * Indexes of the running routed attempts, which find the attempt that makes a
 * nested call.
 */
#include "request/attempt.h"
#include <string.h>

/* Calls state their timeout in whole ms, and spend some time in transit. */
#define CALL_TOLERANCE_US 1500
/* Separates the id of an attempt from the suffix of a call made by it. */
#define KEY_SEPARATOR '.'

/* Orders running attempts by deadline, then by id. */
gint dws_attempt_compare(gconstpointer a, gconstpointer b, gpointer unused)
{
	const dws_attempt_t *first = a;
	const dws_attempt_t *second = b;

	if (first->context.deadline_us != second->context.deadline_us)
		return first->context.deadline_us < second->context.deadline_us
			       ? -1
			       : 1;
	return first->id < second->id ? -1 : first->id > second->id;
}

/* The running routed attempt with the earliest deadline at or after a time. */
static GTreeNode *first_by_deadline(const dws_node_t *node, int64_t deadline_us)
{
	dws_attempt_t earliest = {.context = {.deadline_us = deadline_us}};

	return g_tree_lower_bound(node->running_by_deadline, &earliest);
}

/* Finds the running routed attempt with the deadline nearest to a call's. */
const dws_attempt_t *dws_attempt_find_by_deadline(const dws_node_t *node,
						  int64_t deadline_us)
{
	GTreeNode *found =
		first_by_deadline(node, deadline_us - CALL_TOLERANCE_US);
	const dws_attempt_t *nearest = NULL;
	int64_t distance_us = CALL_TOLERANCE_US + 1;

	for (; found; found = g_tree_node_next(found)) {
		const dws_attempt_t *attempt = g_tree_node_key(found);
		int64_t offset_us = attempt->context.deadline_us - deadline_us;

		if (offset_us > CALL_TOLERANCE_US)
			break;
		if (ABS(offset_us) < distance_us) {
			distance_us = ABS(offset_us);
			nearest = attempt;
		}
	}
	return nearest;
}

/* Finds the running routed attempt whose id is the prefix of a call's id. */
const dws_attempt_t *dws_attempt_find_by_call_key(const dws_node_t *node,
						  const char *call_key)
{
	const char *end = strrchr(call_key, KEY_SEPARATOR);
	char key[DWS_ATTEMPT_KEY_SIZE];

	if (!end)
		return NULL;
	g_strlcpy(key, call_key,
		  MIN(sizeof(key), (size_t)(end - call_key) + 1));
	return g_hash_table_lookup(node->running_by_key, key);
}

/* Finds a running routed attempt of a kind that ends no earlier than a call. */
const dws_attempt_t *dws_attempt_find_by_kind(const dws_node_t *node,
					      const char *kind,
					      int64_t deadline_us)
{
	GTreeNode *found =
		first_by_deadline(node, deadline_us - CALL_TOLERANCE_US);

	for (; found; found = g_tree_node_next(found)) {
		const dws_attempt_t *attempt = g_tree_node_key(found);

		if (strcmp(attempt->kind, kind) == 0)
			return attempt;
	}
	return NULL;
}

/* Adds a routed attempt to the indexes that find the parent of a call. */
void dws_attempt_index(dws_node_t *node, dws_attempt_t *attempt)
{
	g_tree_insert(node->running_by_deadline, attempt, attempt);
	if (attempt->attempt_key[0])
		g_hash_table_replace(node->running_by_key, attempt->attempt_key,
				     attempt);
}

void dws_attempt_unindex(dws_node_t *node, dws_attempt_t *attempt)
{
	g_tree_remove(node->running_by_deadline, attempt);
	if (g_hash_table_lookup(node->running_by_key, attempt->attempt_key) ==
	    attempt)
		g_hash_table_remove(node->running_by_key, attempt->attempt_key);
}
