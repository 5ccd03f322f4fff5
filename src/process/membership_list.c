/*
 * Parser of the platform's VM list. Unknown keys are ignored, so that the
 * platform can add keys.
 */
#include "process/membership_table.h"

#include <string.h>
#include <yaml.h>

#define MAX_LIST_BYTES (1024 * 1024)
#define MAX_SLOTS 100000
#define MAX_COLD_MS (3600 * 1000)

typedef struct vm {
	dws_member_t member; /* without epoch and incarnation */
	bool leaving;
} vm_t;

typedef struct vm_list {
	uint64_t revision;
	bool lists_upstreams; /* at least one entry has an upstream */
	GArray *vms; /* vm_t */
} vm_list_t;

/* Sets an error with the line, the key and the fault; returns false. */
static bool set_error(GError **error, dws_error_t kind, const yaml_node_t *node,
		      const char *key, const char *fault)
{
	unsigned long line =
		node ? (unsigned long)node->start_mark.line + 1 : 1;

	g_set_error(error, DWS_ERROR, (gint)kind,
		    "VM list:%lu: %s: %s; publish a corrected list", line, key,
		    fault);
	return false;
}

/*
 * Returns the scalar text of a key in a mapping; NULL if the key is absent or
 * not a scalar. Sets value to the key's node if it is present.
 */
static const char *find_text(yaml_document_t *document, const yaml_node_t *map,
			     const char *key, yaml_node_t **value)
{
	yaml_node_pair_t *pair = map->data.mapping.pairs.start;

	for (; pair < map->data.mapping.pairs.top; pair++) {
		yaml_node_t *name = yaml_document_get_node(document, pair->key);

		if (name->type != YAML_SCALAR_NODE ||
		    strcmp((char *)name->data.scalar.value, key) != 0)
			continue;
		*value = yaml_document_get_node(document, pair->value);
		if ((*value)->type == YAML_SCALAR_NODE)
			return (char *)(*value)->data.scalar.value;
		return NULL;
	}
	return NULL;
}

/* Reads an identifier; false with an error if it is invalid. */
static bool read_id(yaml_document_t *document, const yaml_node_t *map,
		    const char *key, bool may_be_empty, char *id,
		    GError **error)
{
	yaml_node_t *value = NULL;
	const char *text = find_text(document, map, key, &value);

	if (!text && may_be_empty && !value)
		return true;
	if (!text || (!*text && !may_be_empty))
		return set_error(error, DWS_ERROR_VALUE, map, key, "missing");
	if (strlen(text) >= DWS_ID_SIZE)
		return set_error(error, DWS_ERROR_VALUE, value, key,
				 "longer than 63 characters");
	for (const char *c = text; *c; c++) {
		if (!g_ascii_isgraph(*c))
			return set_error(error, DWS_ERROR_VALUE, value, key,
					 "not printable ASCII without spaces");
	}
	g_strlcpy(id, text, DWS_ID_SIZE);
	return true;
}

/* Reads an unsigned number within bounds. */
static bool read_number(yaml_document_t *document, const yaml_node_t *map,
			const char *key, uint64_t min, uint64_t max,
			uint64_t *number, GError **error)
{
	yaml_node_t *value = NULL;
	const char *text = find_text(document, map, key, &value);
	guint64 parsed = 0;

	if (!text ||
	    !g_ascii_string_to_unsigned(text, 10, min, max, &parsed, NULL))
		return set_error(error, DWS_ERROR_VALUE, value ? value : map,
				 key, "missing, not a number or out of range");
	*number = parsed;
	return true;
}

/* Reads the IP address and both ports of a VM. */
static bool read_addresses(yaml_document_t *document, const yaml_node_t *map,
			   dws_member_t *member, GError **error)
{
	yaml_node_t *value = NULL;
	const char *ip = find_text(document, map, "ip", &value);
	uint64_t port = 0;

	if (!ip || strlen(ip) >= sizeof(member->frame.ip) ||
	    !g_hostname_is_ip_address(ip))
		return set_error(error, DWS_ERROR_VALUE, value ? value : map,
				 "ip", "missing or not an IP address");
	g_strlcpy(member->frame.ip, ip, sizeof(member->frame.ip));
	g_strlcpy(member->datagram.ip, ip, sizeof(member->datagram.ip));
	if (!read_number(document, map, "frame_port", 1, UINT16_MAX, &port,
			 error))
		return false;
	member->frame.port = (uint16_t)port;
	if (!read_number(document, map, "datagram_port", 1, UINT16_MAX, &port,
			 error))
		return false;
	member->datagram.port = (uint16_t)port;
	return true;
}

/* Returns the value of a key in a mapping; NULL if absent. */
static yaml_node_t *find_value(yaml_document_t *document,
			       const yaml_node_t *map, const char *key)
{
	yaml_node_t *value = NULL;

	find_text(document, map, key, &value);
	return value;
}

/* Reads the upstream of a VM, if its entry has one. */
static bool read_upstream(yaml_document_t *document, const yaml_node_t *map,
			  dws_member_t *member, GError **error)
{
	yaml_node_t *node = find_value(document, map, "upstream");
	dws_upstream_t *upstream = &member->upstream;
	yaml_node_t *value = NULL;
	uint64_t number = 0;

	if (!node)
		return true;
	if (node->type != YAML_MAPPING_NODE)
		return set_error(error, DWS_ERROR_VALUE, node, "upstream",
				 "not a mapping");
	if (!read_id(document, node, "id", false, upstream->id, error))
		return false;
	const char *state = find_text(document, node, "state", &value);

	if (g_strcmp0(state, "serving") != 0 &&
	    g_strcmp0(state, "leaving") != 0)
		return set_error(error, DWS_ERROR_VALUE, value ? value : node,
				 "upstream.state",
				 "neither serving nor leaving");
	upstream->leaving = strcmp(state, "leaving") == 0;
	if (find_value(document, node, "slots")) {
		if (!read_number(document, node, "slots", 0, MAX_SLOTS, &number,
				 error))
			return false;
		upstream->slots = (uint32_t)number;
	}
	if (find_value(document, node, "cold_ms")) {
		if (!read_number(document, node, "cold_ms", 0, MAX_COLD_MS,
				 &number, error))
			return false;
		upstream->warmup_ms = (uint32_t)number;
	}
	g_strlcpy(upstream->service, member->service, DWS_ID_SIZE);
	return true;
}

/* Reads the entry of a VM. */
static bool read_vm(yaml_document_t *document, const yaml_node_t *map, vm_t *vm,
		    GError **error)
{
	dws_member_t *member = &vm->member;
	yaml_node_t *value = NULL;

	if (map->type != YAML_MAPPING_NODE)
		return set_error(error, DWS_ERROR_VALUE, map, "vms",
				 "not a mapping");
	if (!read_id(document, map, "id", false, member->vm_id, error) ||
	    !read_id(document, map, "zone", false, member->zone, error) ||
	    !read_id(document, map, "region", true, member->region, error) ||
	    !read_id(document, map, "service", true, member->service, error) ||
	    !read_addresses(document, map, member, error) ||
	    !read_upstream(document, map, member, error))
		return false;
	const char *state = find_text(document, map, "state", &value);

	if (g_strcmp0(state, "live") != 0 && g_strcmp0(state, "leaving") != 0)
		return set_error(error, DWS_ERROR_VALUE, value ? value : map,
				 "state", "neither live nor leaving");
	vm->leaving = strcmp(state, "leaving") == 0;
	return true;
}

/* Reads the sequence of VMs, whose ids must be unique. */
static bool read_vms(yaml_document_t *document, const yaml_node_t *sequence,
		     vm_list_t *list, GError **error)
{
	yaml_node_item_t *item = sequence->data.sequence.items.start;
	bool ok = true;

	if (sequence->data.sequence.items.top - item >
	    DWS_MEMBERSHIP_MAX_MEMBERS - 1)
		return set_error(error, DWS_ERROR_TOO_LARGE, sequence, "vms",
				 "more VMs than the membership table holds");
	GHashTable *ids =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (; ok && item < sequence->data.sequence.items.top; item++) {
		yaml_node_t *map = yaml_document_get_node(document, *item);
		vm_t vm = {0};

		ok = read_vm(document, map, &vm, error);
		if (ok && !g_hash_table_add(ids, g_strdup(vm.member.vm_id)))
			ok = set_error(error, DWS_ERROR_CONFLICT, map, "id",
				       "listed twice");
		if (ok && vm.member.upstream.id[0])
			list->lists_upstreams = true;
		if (ok)
			g_array_append_val(list->vms, vm);
	}
	g_hash_table_destroy(ids);
	return ok;
}

/* Returns the sequence under "vms"; NULL if absent. */
static yaml_node_t *find_vms(yaml_document_t *document, const yaml_node_t *root)
{
	yaml_node_t *value = NULL;

	find_text(document, root, "vms", &value);
	if (!value || value->type != YAML_SEQUENCE_NODE)
		return NULL;
	return value;
}

static bool read_document(yaml_document_t *document, vm_list_t *list,
			  GError **error)
{
	yaml_node_t *root = yaml_document_get_root_node(document);

	if (!root || root->type != YAML_MAPPING_NODE)
		return set_error(error, DWS_ERROR_SYNTAX, root, "document",
				 "not a mapping");
	if (!read_number(document, root, "revision", 1, INT64_MAX,
			 &list->revision, error))
		return false;
	yaml_node_t *vms = find_vms(document, root);

	if (!vms)
		return set_error(error, DWS_ERROR_VALUE, root, "vms",
				 "missing or not a sequence");
	return read_vms(document, vms, list, error);
}

/* Parses YAML; false with an error that contains the line. */
static bool load_document(yaml_document_t *document, const char *text,
			  size_t size_bytes, GError **error)
{
	yaml_parser_t parser;

	if (!yaml_parser_initialize(&parser))
		return set_error(error, DWS_ERROR_SYSTEM, NULL, "document",
				 "out of memory for the YAML parser");
	yaml_parser_set_input_string(&parser, (const unsigned char *)text,
				     size_bytes);
	bool ok = yaml_parser_load(&parser, document) != 0;

	if (!ok)
		g_set_error(error, DWS_ERROR, DWS_ERROR_SYNTAX,
			    "VM list:%lu: %s; publish a corrected list",
			    (unsigned long)parser.problem_mark.line + 1,
			    parser.problem ? parser.problem : "not valid YAML");
	yaml_parser_delete(&parser);
	return ok;
}

static void clear_list(vm_list_t *list)
{
	if (list->vms)
		g_array_free(list->vms, TRUE);
	list->vms = NULL;
}

/* Parses and checks a list; on success the caller calls clear_list(). */
static bool parse_list(vm_list_t *list, const char *text, size_t size_bytes,
		       GError **error)
{
	yaml_document_t document;

	memset(list, 0, sizeof(*list));
	if (size_bytes > MAX_LIST_BYTES)
		return set_error(error, DWS_ERROR_TOO_LARGE, NULL, "document",
				 "larger than 1 MB");
	if (!load_document(&document, text, size_bytes, error))
		return false;
	list->vms = g_array_new(FALSE, TRUE, sizeof(vm_t));
	bool ok = read_document(&document, list, error);

	yaml_document_delete(&document);
	if (!ok)
		clear_list(list);
	return ok;
}

/* Returns true if any field of the upstream differs. */
static bool upstream_differs(const dws_upstream_t *a, const dws_upstream_t *b)
{
	return strcmp(a->id, b->id) != 0 ||
	       strcmp(a->service, b->service) != 0 || a->slots != b->slots ||
	       a->warmup_ms != b->warmup_ms || a->leaving != b->leaving;
}

/* Applies one entry of the list to the table. */
static void apply_vm(dws_membership_t *membership, vm_t *vm)
{
	dws_membership_entry_t *entry =
		dws_membership_table_find(membership, vm->member.vm_id);
	bool fields_changed = entry == NULL;

	if (fields_changed)
		entry = dws_membership_table_add(membership, vm->member.vm_id);
	if (!entry)
		return;
	dws_member_t *member = &entry->member;

	/* Addresses from a live member itself take precedence over the list. */
	if (entry != membership->self &&
	    (member->epoch == 0 || entry->gossip_state == DWS_MEMBER_DEAD)) {
		vm->member.epoch = member->epoch;
		fields_changed |= dws_membership_table_endpoint_differs(
			member, &vm->member);
		dws_membership_table_copy_endpoint(member, &vm->member);
	}
	fields_changed |=
		upstream_differs(&member->upstream, &vm->member.upstream);
	member->upstream = vm->member.upstream;
	member->listed = true;
	if (vm->leaving && !entry->listed_leaving)
		entry->listed_leaving_epoch = member->epoch;
	entry->listed_leaving = vm->leaving;
	dws_membership_table_refresh(membership, entry, fields_changed);
}

/*
 * Clears the data of earlier lists for members that are absent from a new list,
 * and removes those of unknown epoch.
 */
static void clear_unlisted(dws_membership_t *membership, const vm_list_t *list)
{
	GHashTable *ids = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < list->vms->len; i++)
		g_hash_table_add(
			ids, g_array_index(list->vms, vm_t, i).member.vm_id);
	for (guint i = membership->entries->len; i > 0; i--) {
		dws_membership_entry_t *entry =
			membership->entries->pdata[i - 1];

		if (g_hash_table_contains(ids, entry->member.vm_id))
			continue;
		bool had_upstream = entry->member.upstream.id[0] != '\0';

		entry->member.listed = false;
		entry->listed_leaving = false;
		memset(&entry->member.upstream, 0,
		       sizeof(entry->member.upstream));
		if (entry->member.epoch == 0)
			dws_membership_table_remove(membership, entry);
		else
			dws_membership_table_refresh(membership, entry,
						     had_upstream);
	}
	g_hash_table_destroy(ids);
}

/*
 * Applies a list with a revision above the known one, and ignores others.
 * Returns false with an error if the text is malformed; the table is then
 * unchanged.
 */
bool dws_membership_apply_list(dws_membership_t *membership, int64_t now_us,
			       const char *text, size_t size_bytes,
			       GError **error)
{
	vm_list_t list;

	if (!parse_list(&list, text, size_bytes, error))
		return false;
	dws_membership_table_advance_time(membership, now_us);
	if (list.revision > membership->revision) {
		membership->revision = list.revision;
		membership->lists_upstreams |= list.lists_upstreams;
		if (membership->list)
			g_bytes_unref(membership->list);
		membership->list = g_bytes_new(text, size_bytes);
		clear_unlisted(membership, &list);
		for (guint i = 0; i < list.vms->len; i++)
			apply_vm(membership, &g_array_index(list.vms, vm_t, i));
	}
	clear_list(&list);
	return true;
}

/* Returns true once a list has contained an upstream. */
bool dws_membership_lists_upstreams(const dws_membership_t *membership)
{
	return membership->lists_upstreams;
}

/*
 * Returns true if the upstream of a member accepts new work for a service. If a
 * list has contained upstreams, the member must have one that serves it and is
 * not leaving; else the service that the member reports is sufficient.
 */
bool dws_membership_accepts_work(const dws_membership_t *membership,
				 const dws_member_t *member,
				 const char *service)
{
	if (strcmp(member->service, service) != 0)
		return false;
	if (!membership->lists_upstreams)
		return true;
	return member->upstream.id[0] != '\0' && !member->upstream.leaving &&
	       strcmp(member->upstream.service, service) == 0;
}

/* Returns the revision of the latest list; 0 before the first. */
uint64_t dws_membership_list_revision(const dws_membership_t *membership)
{
	return membership->revision;
}

/* Returns the borrowed text of the latest list; NULL before the first. */
const char *dws_membership_list_text(const dws_membership_t *membership,
				     size_t *size_bytes)
{
	*size_bytes = 0;
	if (!membership->list)
		return NULL;
	return g_bytes_get_data(membership->list, size_bytes);
}
