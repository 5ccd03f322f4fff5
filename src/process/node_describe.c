/*
 * State of a node for operators: views in JSON and gauges for Prometheus.
 */
#include "process/node_internal.h"
#include <string.h>

/* Appends a JSON string; NULL is written as "". */
static void append_text(GString *json, const char *text)
{
	g_string_append_c(json, '"');
	for (const char *c = text ? text : ""; *c; c++) {
		if (*c == '"' || *c == '\\')
			g_string_append_printf(json, "\\%c", *c);
		else if ((unsigned char)*c < ' ')
			g_string_append_printf(json, "\\u%04x",
					       (unsigned char)*c);
		else
			g_string_append_c(json, *c);
	}
	g_string_append_c(json, '"');
}

static void append_text_field(GString *json, const char *name, const char *text)
{
	g_string_append_printf(json, "\"%s\":", name);
	append_text(json, text);
	g_string_append_c(json, ',');
}

static void append_number(GString *json, const char *name, uint64_t number)
{
	g_string_append_printf(json, "\"%s\":%" G_GUINT64_FORMAT ",", name,
			       number);
}

static void append_flag(GString *json, const char *name, bool flag)
{
	g_string_append_printf(json, "\"%s\":%s,", name,
			       flag ? "true" : "false");
}

/* Closes a list or object: the bracket replaces a trailing comma, if any. */
static void close_list(GString *json, char bracket)
{
	if (json->str[json->len - 1] == ',')
		json->str[json->len - 1] = bracket;
	else
		g_string_append_c(json, bracket);
}

static void append_version(GString *json, const dws_node_t *node)
{
	const uint8_t *digest = dws_config_state_digest(node->config_state);
	char text[2 * DWS_DIGEST_SIZE + 1];

	for (int i = 0; i < DWS_DIGEST_SIZE; i++)
		g_snprintf(text + 2 * i, 3, "%02x", digest[i]);
	append_number(json, "sequence",
		      dws_config_state_sequence(node->config_state));
	append_number(json, "version",
		      dws_config_state_version(node->config_state));
	append_text_field(json, "digest", text);
}

static uint32_t count_held(const dws_node_t *node)
{
	GHashTableIter iter;
	gpointer queue;
	uint32_t held = 0;

	g_hash_table_iter_init(&iter, node->held_queues);
	while (g_hash_table_iter_next(&iter, NULL, &queue))
		held += dws_queue_length(queue);
	return held;
}

static void describe_status(GString *json, const dws_node_t *node)
{
	dws_load_report_t load;

	dws_admission_get_load(&node->admission, &load);
	append_text_field(json, "vm_id", node->settings->vm_id);
	append_text_field(json, "zone", node->settings->zone);
	append_text_field(json, "region", node->settings->region);
	append_text_field(json, "service", node->settings->service);
	append_version(json, node);
	append_flag(json, "open", dws_node_accepts_work(node));
	append_flag(json, "draining", node->draining);
	append_flag(json, "reader", dws_read_role_reads(&node->read_role));
	append_number(json, "vms_revision",
		      dws_membership_list_revision(node->membership));
	append_number(json, "members_alive", dws_node_alive_member_count(node));
	append_number(json, "limit", load.limit);
	append_number(json, "running", load.running);
	append_number(json, "queued", load.queued);
	append_number(json, "threshold", load.threshold);
	append_number(json, "held", count_held(node));
	append_number(json, "requests", g_hash_table_size(node->requests));
	append_number(json, "attempts", g_hash_table_size(node->attempts));
	append_number(json, "ledger", dws_ledger_size(&node->ledger));
	if (node->config_confirmed_us != DWS_NEVER_CONFIRMED)
		append_number(
			json, "config_age_ms",
			(uint64_t)((node->now_us - node->config_confirmed_us) /
				   DWS_US_PER_MS));
}

static void describe_members(GString *json, const dws_node_t *node)
{
	const GPtrArray *all = dws_membership_all(node->membership);

	g_string_append(json, "\"members\":[");
	for (guint i = 0; i < all->len; i++) {
		const dws_member_t *member = all->pdata[i];

		g_string_append_c(json, '{');
		append_text_field(json, "vm_id", member->vm_id);
		append_text_field(json, "zone", member->zone);
		append_text_field(json, "service", member->service);
		append_text_field(json, "state",
				  dws_member_state_name(member->state));
		append_text_field(json, "ip", member->frame.ip);
		append_number(json, "frame_port", member->frame.port);
		append_number(json, "incarnation", member->incarnation);
		append_flag(json, "listed", member->listed);
		close_list(json, '}');
		g_string_append_c(json, ',');
	}
	close_list(json, ']');
	g_string_append_c(json, ',');
}

static void describe_config(GString *json, const dws_node_t *node)
{
	char *document = dws_config_state_document(node->config_state);

	append_version(json, node);
	append_text_field(json, "document", document);
	g_free(document);
}

static void describe_verdicts(GString *json, const dws_node_t *node)
{
	const GArray *verdicts = dws_config_state_verdicts(node->config_state);

	append_version(json, node);
	g_string_append(json, "\"verdicts\":[");
	for (guint i = 0; i < verdicts->len; i++) {
		const dws_verdict_t *verdict =
			&g_array_index(verdicts, dws_verdict_t, i);

		g_string_append_c(json, '{');
		append_number(json, "sequence", verdict->sequence);
		append_number(json, "base_version", verdict->base_version);
		append_flag(json, "accepted", verdict->accepted);
		append_text_field(json, "reason", verdict->reason);
		close_list(json, '}');
		g_string_append_c(json, ',');
	}
	close_list(json, ']');
	g_string_append_c(json, ',');
}

static void append_customers(GString *json, const dws_slowdown_t *slowdown,
			     bool called)
{
	g_string_append_printf(json, "\"%s\":[", called ? "called" : "to_call");
	for (guint i = 0; i < slowdown->customers->len; i++) {
		const char *customer = slowdown->customers->pdata[i];

		if (g_hash_table_contains(slowdown->notified, customer) !=
		    called)
			continue;
		append_text(json, customer);
		g_string_append_c(json, ',');
	}
	close_list(json, ']');
	g_string_append_c(json, ',');
}

static void describe_slowdowns(GString *json, const dws_node_t *node)
{
	const dws_config_t *config =
		dws_config_state_config(node->config_state);

	append_version(json, node);
	g_string_append(json, "\"slowdowns\":[");
	for (guint i = 0; config && i < config->slowdowns->len; i++) {
		const dws_slowdown_t *slowdown = config->slowdowns->pdata[i];

		g_string_append_c(json, '{');
		append_text_field(json, "name", slowdown->name);
		append_number(json, "start_ms", (uint64_t)slowdown->start_ms);
		append_number(json, "end_ms", (uint64_t)slowdown->end_ms);
		append_number(json, "added_delay_ms", slowdown->added_delay_ms);
		append_customers(json, slowdown, true);
		append_customers(json, slowdown, false);
		close_list(json, '}');
		g_string_append_c(json, ',');
	}
	close_list(json, ']');
	g_string_append_c(json, ',');
}

typedef struct dws_view {
	const char *name;
	void (*describe)(GString *json, const dws_node_t *node);
} dws_view_t;

static const dws_view_t views[] = {
	{"status", describe_status},	   {"members", describe_members},
	{"config", describe_config},	   {"verdicts", describe_verdicts},
	{"slowdowns", describe_slowdowns},
};

static void append_gauge(GString *text, const char *name, double value)
{
	g_string_append_printf(
		text, "# TYPE dogwoodshift_%s gauge\ndogwoodshift_%s %g\n",
		name, name, value);
}

/* Appends the admitted share of root requests of each route. */
static void append_shares(GString *text, dws_node_t *node)
{
	const dws_config_t *config =
		dws_config_state_config(node->config_state);

	if (!config || config->routes->len == 0)
		return;
	g_string_append(text, "# TYPE dogwoodshift_root_share gauge\n");
	for (guint i = 0; i < config->routes->len; i++) {
		const char *route =
			g_array_index(config->routes, dws_route_t, i).name;

		g_string_append_printf(
			text, "dogwoodshift_root_share{route=\"%s\"} %g\n",
			route,
			dws_root_throttle_admitted_share(&node->root_throttle,
							 node->now_us, route));
	}
}

/* Returns the gauges in the Prometheus text format. Free with g_free(). */
char *dws_node_gauges(dws_node_t *node, int64_t now_us)
{
	GString *text = g_string_new(NULL);
	double age_s = -1;
	dws_load_report_t load;

	if (node->config_confirmed_us != DWS_NEVER_CONFIRMED)
		age_s = (double)(now_us - node->config_confirmed_us) /
			DWS_US_PER_S;
	dws_admission_get_load(&node->admission, &load);
	append_gauge(text, "config_version",
		     (double)dws_config_state_version(node->config_state));
	append_gauge(text, "config_confirmed_age_seconds", age_s);
	append_gauge(text, "list_revision",
		     (double)dws_membership_list_revision(node->membership));
	append_gauge(text, "ready", dws_node_is_ready(node));
	append_gauge(text, "members_alive", dws_node_alive_member_count(node));
	append_gauge(text, "upstream_serves",
		     dws_node_upstream_accepts_work(node));
	append_gauge(text, "upstream_limit", load.limit);
	append_gauge(text, "upstream_running", load.running);
	append_gauge(text, "upstream_queued", load.queued);
	append_gauge(text, "requests_in_flight",
		     g_hash_table_size(node->requests));
	append_gauge(text, "retry_budget_left",
		     dws_retry_budget_remaining(
			     &node->retry_budget, now_us,
			     node->settings->service,
			     dws_node_alive_member_count(node), false));
	append_shares(text, node);
	return g_string_free(text, FALSE);
}

/* Returns a view as JSON; NULL if it is unknown. Free with g_free(). */
char *dws_node_describe(dws_node_t *node, int64_t now_us, const char *view)
{
	node->now_us = MAX(node->now_us, now_us);
	for (size_t i = 0; i < G_N_ELEMENTS(views); i++) {
		if (strcmp(views[i].name, view) != 0)
			continue;
		GString *json = g_string_new("{");

		views[i].describe(json, node);
		close_list(json, '}');
		return g_string_free(json, false);
	}
	return NULL;
}
