/*
 * Parsing and validation of the settings of a process.
 */
#include "process/settings.h"
#include "version/fields.h"

#define SECOND_MS 1000
#define HOUR_MS (3600 * SECOND_MS)
#define DEFAULT_RETRY_RATIO 0.2
#define DEFAULT_RETRY_WINDOW_MS (10 * SECOND_MS)
#define MEGABYTE (1024 * 1024)

/* A key whose value is a number. */
typedef struct dws_number_key {
	const char *key;
	size_t offset;
	uint32_t min;
	uint32_t max;
	uint32_t default_value;
} dws_number_key_t;

static const dws_number_key_t number_keys[] = {
	{"max_body_bytes", offsetof(dws_settings_t, max_body_bytes), 1024,
	 64 * MEGABYTE, 256 * 1024},
	{"memory_mb", offsetof(dws_settings_t, memory_mb), 0, 1024 * 1024, 0},
	{"max_connections", offsetof(dws_settings_t, max_connections), 1, 65536,
	 1024},
	{"max_calls", offsetof(dws_settings_t, max_calls), 1, 1000000, 4096},
	{"max_ledger_entries", offsetof(dws_settings_t, max_ledger_entries), 16,
	 1000000, 65536},
	{"max_queue", offsetof(dws_settings_t, max_queue), 1, 100000, 256},
	{"max_held", offsetof(dws_settings_t, max_held), 0, 100000, 512},
	{"upstream_slots", offsetof(dws_settings_t, upstream_slots), 0, 10000,
	 0},
	{"ticket_ttl_ms", offsetof(dws_settings_t, ticket_ttl_ms), SECOND_MS,
	 HOUR_MS, 120 * SECOND_MS},
	{"probe_interval_ms", offsetof(dws_settings_t, probe_interval_ms), 10,
	 60 * SECOND_MS, SECOND_MS},
	{"retry_slack", offsetof(dws_settings_t, retry_slack), 0, 1000000, 50},
	{"drain_linger_ms", offsetof(dws_settings_t, drain_linger_ms), 0,
	 10 * 60 * SECOND_MS, 0},
};

/* A key whose value is an address. */
typedef struct dws_address_key {
	const char *key;
	size_t offset;
	bool required;
} dws_address_key_t;

static const dws_address_key_t address_keys[] = {
	{"callers_listen", offsetof(dws_settings_t, callers_listen), false},
	{"upstream_listen", offsetof(dws_settings_t, upstream_listen), false},
	{"routed_listen", offsetof(dws_settings_t, routed_listen), false},
	{"ready_listen", offsetof(dws_settings_t, ready_listen), false},
	{"admin_listen", offsetof(dws_settings_t, admin_listen), true},
	{"frame_listen", offsetof(dws_settings_t, frame_listen), true},
	{"datagram_listen", offsetof(dws_settings_t, datagram_listen), true},
	{"upstream", offsetof(dws_settings_t, upstream), false},
	{"platform", offsetof(dws_settings_t, platform), false},
};

/* A key whose value is a name. */
typedef struct dws_name_key {
	const char *key;
	size_t offset;
	bool required;
} dws_name_key_t;

static const dws_name_key_t name_keys[] = {
	{"vm_id", offsetof(dws_settings_t, vm_id), true},
	{"zone", offsetof(dws_settings_t, zone), true},
	{"region", offsetof(dws_settings_t, region), true},
	{"service", offsetof(dws_settings_t, service), false},
};

static const char *const known_keys[] = {
	"vm_id",	   "zone",
	"region",	   "service",
	"callers_listen",  "upstream_listen",
	"admin_listen",	   "admin_any_address",
	"frame_listen",	   "datagram_listen",
	"upstream",	   "platform",
	"seeds",	   "log_level",
	"log_file",	   "max_body_bytes",
	"max_connections", "max_calls",
	"max_queue",	   "max_ledger_entries",
	"max_held",	   "upstream_slots",
	"ticket_ttl_ms",   "probe_interval_ms",
	"drain_linger_ms", "policy",
	"routed_listen",   "ready_listen",
	"retry_ratio",	   "retry_slack",
	"retry_window",	   "platform_protocol",
	"bind_ip",	   "memory_mb",
	"stop_timeout",
};

static const char *const level_names[] = {
	[DWS_LOG_ERROR] = "error",
	[DWS_LOG_WARNING] = "warning",
	[DWS_LOG_INFO] = "info",
	[DWS_LOG_DEBUG] = "debug",
};

static const char *const protocol_names[] = {"documents", "store"};

static const char *const policy_names[] = {"adaptive", "fixed", "none"};

/* Returns the field of the settings at an offset. */
static void *field_at(dws_settings_t *settings, size_t offset)
{
	return (uint8_t *)settings + offset;
}

/*
 * Reads a key with an enumerated value; returns the index of the value, or
 * fallback if the key is absent or invalid.
 */
static size_t read_choice(const dws_fields_t *fields, const char *key,
			  const char *const *choices, size_t count,
			  size_t fallback)
{
	char text[32];

	if (!dws_fields_text(fields, key, text, sizeof(text)))
		return fallback;
	for (size_t i = 0; i < count; i++) {
		if (!strcmp(text, choices[i]))
			return i;
	}
	char **list = g_new0(char *, count + 1);

	for (size_t i = 0; i < count; i++)
		list[i] = (char *)choices[i];
	char *joined = g_strjoinv(", ", list);

	dws_fields_report(fields, DWS_ERROR_VALUE, key,
			  "is not an allowed value; write one of %s", joined);
	g_free(joined);
	g_free(list);
	return fallback;
}

/* Reads the names, addresses and numbers of the three tables. */
static void read_tables(const dws_fields_t *fields, dws_settings_t *settings)
{
	for (size_t i = 0; i < G_N_ELEMENTS(name_keys); i++) {
		const dws_name_key_t *key = &name_keys[i];

		if (!key->required || dws_fields_require(fields, key->key))
			dws_fields_name(fields, key->key,
					field_at(settings, key->offset),
					DWS_ID_SIZE);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(address_keys); i++) {
		const dws_address_key_t *key = &address_keys[i];

		if (!key->required || dws_fields_require(fields, key->key))
			dws_fields_address(fields, key->key,
					   field_at(settings, key->offset));
	}
	for (size_t i = 0; i < G_N_ELEMENTS(number_keys); i++) {
		const dws_number_key_t *key = &number_keys[i];
		uint32_t *number = field_at(settings, key->offset);

		*number = key->default_value;
		dws_fields_number(fields, key->key, key->min, key->max, number);
	}
}

/* Reads the two addresses of a seed. */
static void read_seed(dws_faults_t *faults, const dws_value_t *value,
		      uint32_t number, dws_seed_t *seed)
{
	static const char *const keys[] = {"frame", "datagram"};
	dws_fields_t fields;
	char path[32];

	g_snprintf(path, sizeof(path), "seeds[%u].", number);
	if (!dws_fields_init(&fields, faults, value, path))
		return;
	dws_fields_reject_unknown(&fields, keys, G_N_ELEMENTS(keys));
	if (dws_fields_require(&fields, "frame"))
		dws_fields_address(&fields, "frame", &seed->frame);
	if (dws_fields_require(&fields, "datagram"))
		dws_fields_address(&fields, "datagram", &seed->datagram);
}

static void read_seeds(const dws_fields_t *fields, dws_settings_t *settings)
{
	const dws_value_t *seeds = dws_fields_get(fields, "seeds");

	if (!seeds)
		return;
	if (seeds->type != DWS_VALUE_LIST ||
	    seeds->items->len > DWS_MAX_SEEDS) {
		dws_fields_report(fields, DWS_ERROR_VALUE, "seeds",
				  "is not a list of at most %d entries; write "
				  "\"- {frame: IP:PORT, datagram: IP:PORT}\" "
				  "lines",
				  DWS_MAX_SEEDS);
		return;
	}
	settings->seed_count = seeds->items->len;
	for (uint32_t i = 0; i < settings->seed_count; i++)
		read_seed(fields->faults, seeds->items->pdata[i], i,
			  &settings->seeds[i]);
}

/*
 * Reports each duplicate TCP address: a second listener could not bind it, and
 * as upstream it would send requests back to this process.
 */
static void check_distinct(const dws_fields_t *fields,
			   const dws_settings_t *settings)
{
	const dws_address_t *const addresses[] = {
		&settings->callers_listen, &settings->upstream_listen,
		&settings->admin_listen,   &settings->frame_listen,
		&settings->upstream,	   &settings->routed_listen,
		&settings->ready_listen};
	static const char *const keys[] = {"callers_listen", "upstream_listen",
					   "admin_listen",   "frame_listen",
					   "upstream",	     "routed_listen",
					   "ready_listen"};

	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
		for (size_t k = 0; k < i && addresses[i]->port > 0; k++) {
			if (addresses[i]->port != addresses[k]->port ||
			    strcmp(addresses[i]->ip, addresses[k]->ip) != 0)
				continue;
			dws_fields_report(
				fields, DWS_ERROR_CONFLICT, keys[i],
				"is the address of %s; give it another"
				" port",
				keys[k]);
		}
	}
}

/* Reads the IP address that the listeners for peers bind. */
static void read_bind_ip(const dws_fields_t *fields, dws_settings_t *settings)
{
	if (dws_fields_text(fields, "bind_ip", settings->bind_ip,
			    sizeof(settings->bind_ip)) &&
	    !g_hostname_is_ip_address(settings->bind_ip))
		dws_fields_report(
			fields, DWS_ERROR_VALUE, "bind_ip",
			"is not an IP address; write one of this VM's, or "
			"leave it out to bind the IP addresses of "
			"frame_listen and datagram_listen");
}

/* Checks constraints that involve several keys. */
static void check_combinations(const dws_fields_t *fields,
			       const dws_settings_t *settings)
{
	bool is_routed = settings->routed_listen.ip[0] != '\0';
	bool has_service = dws_fields_get(fields, "service") != NULL;
	bool has_upstream = dws_fields_get(fields, "upstream") != NULL;

	if (has_service && !has_upstream)
		dws_fields_report(fields, DWS_ERROR_CONFLICT, "service",
				  "has no upstream; add upstream: IP:PORT, or "
				  "remove service");
	if (has_upstream && !has_service)
		dws_fields_report(
			fields, DWS_ERROR_CONFLICT, "upstream",
			"has no service; add service: NAME, or remove "
			"upstream");
	if (!is_routed) {
		dws_fields_require(fields, "callers_listen");
		dws_fields_require(fields, "upstream_listen");
	}
	check_distinct(fields, settings);
	if (settings->admin_listen.port > 0 && !settings->admin_any_address &&
	    !dws_address_is_loopback(&settings->admin_listen))
		dws_fields_report(
			fields, DWS_ERROR_CONFLICT, "admin_listen",
			"%s is not a loopback address; use 127.0.0.1, or "
			"add admin_any_address: true",
			settings->admin_listen.ip);
}

static void read_settings(const dws_fields_t *fields, dws_settings_t *settings)
{
	dws_fields_reject_unknown(fields, known_keys, G_N_ELEMENTS(known_keys));
	read_tables(fields, settings);
	read_seeds(fields, settings);
	settings->log_level = (dws_log_level_t)read_choice(
		fields, "log_level", level_names, G_N_ELEMENTS(level_names),
		DWS_LOG_INFO);
	dws_fields_text(fields, "log_file", settings->log_file,
			sizeof(settings->log_file));
	read_bind_ip(fields, settings);
	size_t protocol =
		read_choice(fields, "platform_protocol", protocol_names,
			    G_N_ELEMENTS(protocol_names), 0);

	g_strlcpy(settings->platform_protocol, protocol_names[protocol],
		  sizeof(settings->platform_protocol));
	settings->retry_ratio = DEFAULT_RETRY_RATIO;
	settings->retry_window_ms = DEFAULT_RETRY_WINDOW_MS;
	dws_fields_fraction(fields, "retry_ratio", &settings->retry_ratio);
	dws_fields_duration(fields, "retry_window", 1, HOUR_MS,
			    &settings->retry_window_ms);
	dws_fields_duration(fields, "stop_timeout", 1, HOUR_MS,
			    &settings->stop_timeout_ms);
	size_t policy = read_choice(fields, "policy", policy_names,
				    G_N_ELEMENTS(policy_names), 0);

	g_strlcpy(settings->policy, policy_names[policy],
		  sizeof(settings->policy));
	dws_fields_bool(fields, "admin_any_address",
			&settings->admin_any_address);
	check_combinations(fields, settings);
}

/*
 * Parses and validates settings from text. Returns false with all faults in
 * one error; the settings are then undefined.
 */
bool dws_settings_parse(dws_settings_t *settings, const char *text,
			size_t size_bytes, const char *name, GError **error)
{
	dws_faults_t faults;
	dws_fields_t fields;

	*settings = (dws_settings_t){.seed_count = 0};
	dws_value_t *document =
		dws_document_parse(text, size_bytes, name, error);

	if (!document)
		return false;
	dws_faults_init(&faults, name);
	if (dws_fields_init(&fields, &faults, document, ""))
		read_settings(&fields, settings);
	dws_value_unref(document);
	return dws_faults_finish(&faults, error);
}
