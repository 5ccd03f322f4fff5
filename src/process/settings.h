/*
 * Settings of one process, read from a YAML file that is checked whole: at its
 * start, and again when the file changes.
 */
#ifndef DWS_PROCESS_SETTINGS_H
#define DWS_PROCESS_SETTINGS_H

#include "dogwoodshift.h"

#define DWS_MAX_SEEDS 16
#define DWS_ID_SIZE 64

/* A peer that a process may ask before it knows any other. */
typedef struct dws_seed {
	dws_address_t frame;
	dws_address_t datagram;
} dws_seed_t;

struct dws_settings {
	char vm_id[DWS_ID_SIZE];
	char zone[DWS_ID_SIZE];
	char region[DWS_ID_SIZE];
	char service[DWS_ID_SIZE]; /* of the local upstream; "" if none */
	dws_address_t callers_listen; /* HTTP, for callers; port 0: any */
	dws_address_t upstream_listen; /* HTTP, for nested calls */
	/*
	 * HTTP, for callers and the local upstream alike: requests are told
	 * apart by the configuration's routes. Empty IP: there is none.
	 */
	dws_address_t routed_listen;
	dws_address_t ready_listen; /* HTTP, asked whether to send work here */
	char platform_protocol[16]; /* "documents" or "store" */
	dws_address_t admin_listen; /* HTTP, for operators */
	bool admin_any_address; /* allows a non-loopback admin address */
	dws_address_t frame_listen; /* TCP, for peers */
	dws_address_t datagram_listen; /* UDP, for peers */
	/*
	 * What the two above bind where peers reach this VM by another IP
	 * number (address translation, a relay); "": the same.
	 */
	char bind_ip[DWS_IP_SIZE];
	dws_address_t upstream; /* port 0 if there is none */
	dws_address_t platform; /* port 0 if there is none */
	dws_seed_t seeds[DWS_MAX_SEEDS];
	uint32_t seed_count;
	dws_log_level_t log_level;
	char log_file[256]; /* "": standard output */
	uint32_t max_body_bytes;
	uint32_t max_connections; /* of callers */
	uint32_t max_calls; /* in flight at this process */
	uint32_t max_ledger_entries;
	uint32_t max_queue; /* waiting for the local upstream */
	uint32_t max_held; /* waiting for room at any upstream */
	uint32_t upstream_slots; /* at the local upstream; 0: configured */
	uint32_t ticket_ttl_ms;
	uint32_t probe_interval_ms;
	double retry_ratio; /* routed: repeats for a request, over all daemons */
	uint32_t retry_slack; /* repeats in a window beyond that */
	uint32_t retry_window_ms;
	uint32_t drain_linger_ms; /* after the last call in flight */
	char policy[16]; /* "adaptive", "fixed" or "none" */
};

/*
 * Reads and checks a settings file. Returns false with every fault in one
 * error message, a line each ("file:line: key: fault; remedy").
 */
bool dws_settings_load(dws_settings_t *settings, const char *file,
		       GError **error);

/* The same from text; name stands for the file in messages. */
bool dws_settings_parse(dws_settings_t *settings, const char *text,
			size_t size_bytes, const char *name, GError **error);

#endif
