/*
 * Kinds of work: parsing, and matching of requests.
 */
#include "version/config_read.h"

#define MAX_PRIORITY 7
#define MAX_WORTH 1000
#define MAX_CALLS_PER_PARENT 1000
#define MAX_RETRY_BUDGET 1000
#define MAX_TIMEOUT_MS (600 * 1000)

/* True if a text is an HTTP method: upper-case letters only. */
static bool is_method(const char *text)
{
	for (const char *at = text; *at; at++) {
		if (!g_ascii_isupper(*at))
			return false;
	}
	return text[0] != '\0';
}

/*
 * True if every server interprets the segments of a path, up to its query, in
 * the same way: no empty or dot segments, no backslashes, and no
 * percent-encoded slashes, backslashes or dots. An upstream might normalise any
 * other path to the path of another kind.
 */
static bool is_unambiguous(const char *path)
{
	static const char *const ambiguous[] = {"//",  "/./", "/../", "\\",
						"%2e", "%2f", "%5c"};
	size_t length = strcspn(path, "?#");
	char *lowered = g_ascii_strdown(path, (gssize)length);
	bool ok = !g_str_has_suffix(lowered, "/.") &&
		  !g_str_has_suffix(lowered, "/..");

	for (size_t i = 0; i < G_N_ELEMENTS(ambiguous) && ok; i++)
		ok = !strstr(lowered, ambiguous[i]);
	g_free(lowered);
	return ok;
}

/* Checks a kind's method and path prefix. */
static void check_pattern(const dws_fields_t *fields, const dws_kind_t *kind)
{
	const char *prefix = kind->path_prefix;

	if (kind->method[0] && !is_method(kind->method))
		dws_fields_report(fields, DWS_ERROR_VALUE, "method",
				  "is not an HTTP method; write upper-case "
				  "letters, or remove it to match all methods");
	if (prefix[0] != '/' || strpbrk(prefix, "?# ") ||
	    !is_unambiguous(prefix))
		dws_fields_report(fields, DWS_ERROR_VALUE, "path_prefix",
				  "is not a normalized absolute path; start "
				  "with / and omit "
				  "queries, spaces, empty and dot segments");
}

/* Reports a kind that matches the same requests as an earlier one. */
static void check_duplicate(const dws_config_t *config,
			    const dws_fields_t *fields, const dws_kind_t *kind)
{
	for (guint i = 0; i < config->kinds->len; i++) {
		const dws_kind_t *other =
			&g_array_index(config->kinds, dws_kind_t, i);

		if (!strcmp(kind->service, other->service) &&
		    !strcmp(kind->method, other->method) &&
		    !strcmp(kind->path_prefix, other->path_prefix))
			dws_fields_report(fields, DWS_ERROR_CONFLICT,
					  "path_prefix",
					  "has the service, method and prefix "
					  "of kind \"%s\"; change one of them",
					  other->name);
	}
}

static void read_kind_numbers(const dws_fields_t *fields, dws_kind_t *kind)
{
	uint32_t priority = 0;

	if (dws_fields_require(fields, "priority"))
		dws_fields_number(fields, "priority", 0, MAX_PRIORITY,
				  &priority);
	kind->priority = (uint8_t)priority;
	dws_fields_number(fields, "worth", 1, MAX_WORTH, &kind->worth);
	dws_fields_number(fields, "calls_per_parent", 0, MAX_CALLS_PER_PARENT,
			  &kind->calls_per_parent);
	dws_fields_number(fields, "retry_budget", 0, MAX_RETRY_BUDGET,
			  &kind->retry_budget);
	dws_fields_number(fields, "timeout_ms", 1, MAX_TIMEOUT_MS,
			  &kind->timeout_ms);
}

void dws_config_read_kind(dws_config_t *config, const dws_fields_t *fields,
			  const char *name)
{
	static const char *const keys[] = {
		"service",	    "method",	    "path_prefix",
		"priority",	    "worth",	    "idempotent",
		"calls_per_parent", "retry_budget", "timeout_ms",
	};
	dws_kind_t kind = {.path_prefix = "/",
			   .worth = 1,
			   .calls_per_parent = 1,
			   .retry_budget = 3,
			   .timeout_ms = 3000};

	g_strlcpy(kind.name, name, sizeof(kind.name));
	dws_fields_reject_unknown(fields, keys, G_N_ELEMENTS(keys));
	if (dws_fields_require(fields, "service") &&
	    dws_fields_name(fields, "service", kind.service,
			    sizeof(kind.service)) &&
	    !dws_config_find_service(config, kind.service))
		dws_fields_report(fields, DWS_ERROR_CONFLICT, "service",
				  "\"%s\" is not among the services; add it "
				  "there, or write one that is",
				  kind.service);
	dws_fields_text(fields, "method", kind.method, sizeof(kind.method));
	dws_fields_text(fields, "path_prefix", kind.path_prefix,
			sizeof(kind.path_prefix));
	if (dws_fields_require(fields, "idempotent"))
		dws_fields_bool(fields, "idempotent", &kind.idempotent);
	read_kind_numbers(fields, &kind);
	check_pattern(fields, &kind);
	check_duplicate(config, fields, &kind);
	g_array_append_val(config->kinds, kind);
}

/*
 * Splits "/service/rest?query". Returns the part after the service, which may
 * be empty, and the length of the service; NULL if the path does not start
 * with a slash.
 */
static const char *split_path(const char *path, size_t *service_length)
{
	if (path[0] != '/')
		return NULL;
	*service_length = strcspn(path + 1, "/?#");
	return path + 1 + *service_length;
}

/* True if a path starts with a prefix that ends at a segment boundary. */
static bool has_segment_prefix(const char *path, const char *prefix)
{
	size_t length = strlen(prefix);

	if (!strcmp(prefix, "/"))
		return true;
	if (strncmp(path, prefix, length) != 0)
		return false;
	return prefix[length - 1] == '/' || path[length] == '\0' ||
	       strchr("/?#", path[length]) != NULL;
}

/*
 * True if a kind is a more specific match than another one that matches the
 * same request: a longer prefix, or the same length and a method.
 */
static bool is_more_specific(const dws_kind_t *kind, const dws_kind_t *other)
{
	if (!other)
		return true;
	size_t length = strlen(kind->path_prefix);
	size_t other_length = strlen(other->path_prefix);

	if (length != other_length)
		return length > other_length;
	return kind->method[0] && !other->method[0];
}

const dws_kind_t *dws_config_match_kind(const dws_config_t *config,
					const char *method, const char *path)
{
	const dws_kind_t *best = NULL;
	size_t service_length = 0;
	const char *rest = split_path(path, &service_length);

	if (!rest || !is_unambiguous(path))
		return NULL;
	for (guint i = 0; i < config->kinds->len; i++) {
		const dws_kind_t *kind =
			&g_array_index(config->kinds, dws_kind_t, i);

		if (strncmp(path + 1, kind->service, service_length) != 0 ||
		    kind->service[service_length] != '\0')
			continue;
		if (kind->method[0] && strcmp(kind->method, method) != 0)
			continue;
		if (has_segment_prefix(rest, kind->path_prefix) &&
		    is_more_specific(kind, best))
			best = kind;
	}
	return best;
}
