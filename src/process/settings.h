/*
 * Settings of a process. They are read from a YAML file and validated as a
 * whole, at start-up and whenever the file changes.
 */
#ifndef DWS_PROCESS_SETTINGS_H
#define DWS_PROCESS_SETTINGS_H

#include "dogwoodshift.h"

#define DWS_MAX_SEEDS 16
#define DWS_ID_SIZE 64

/* A peer that is contacted at start-up, before any member is known. */
typedef struct dws_seed {
	dws_address_t frame;
	dws_address_t datagram;
} dws_seed_t;

struct dws_settings {
	char vm_id[DWS_ID_SIZE];
	char zone[DWS_ID_SIZE];
	char region[DWS_ID_SIZE];
	char service[DWS_ID_SIZE]; /* of the local upstream; "" if none */
	dws_address_t callers_listen; /* HTTP, callers; port 0: ephemeral */
	dws_address_t upstream_listen; /* HTTP, for nested calls */
	/*
	 * HTTP, for both callers and the local upstream: the configuration's
	 * routes map requests to services. Empty IP: no such listener.
	 */
	dws_address_t routed_listen;
	dws_address_t ready_listen; /* HTTP, for readiness probes */
	char platform_protocol[16]; /* "documents" or "store" */
	dws_address_t admin_listen; /* HTTP, for operators */
	bool admin_any_address; /* allows a non-loopback admin address */
	dws_address_t frame_listen; /* TCP, for peers */
	dws_address_t datagram_listen; /* UDP, for peers */
	/*
	 * The local IP address that frame_listen and datagram_listen bind, if
	 * peers reach this VM at another one (address translation, a relay);
	 * "": their own IP addresses.
	 */
	char bind_ip[DWS_IP_SIZE];
	dws_address_t upstream; /* port 0 if there is none */
	dws_address_t platform; /* port 0 if there is none */
	dws_seed_t seeds[DWS_MAX_SEEDS];
	uint32_t seed_count;
	dws_log_level_t log_level;
	char log_file[256]; /* "": standard output */
	uint32_t max_body_bytes;
	uint32_t memory_mb; /* that the process may use; 0: not limited */
	uint32_t max_connections; /* of callers */
	uint32_t max_calls; /* limit on requests and on attempts in flight */
	uint32_t max_ledger_entries;
	uint32_t max_queue; /* attempts queued for the local upstream */
	uint32_t max_held; /* held requests of one service */
	/* Concurrency limit of the local upstream; 0: by configuration. */
	uint32_t upstream_slots;
	uint32_t ticket_ttl_ms;
	uint32_t probe_interval_ms;
	/* Of routed requests: retries per request, over all daemons. */
	double retry_ratio;
	uint32_t retry_slack; /* retries per window beyond that ratio */
	uint32_t retry_window_ms;
	uint32_t drain_linger_ms; /* minimum duration of a drain */
	/* Time from a stop signal until the process is killed; 0: never. */
	uint32_t stop_timeout_ms;
	char policy[16]; /* "adaptive", "fixed" or "none" */
};

/*
 * Reads and validates a settings file. Returns false with all faults in one
 * error message, one per line ("file:line: key: fault; remedy").
 */
bool dws_settings_load(dws_settings_t *settings, const char *file,
		       GError **error);

/*
 * Parses and validates settings from text; name replaces the file name in
 * messages. Errors as for dws_settings_load().
 */
bool dws_settings_parse(dws_settings_t *settings, const char *text,
			size_t size_bytes, const char *name, GError **error);

#endif
