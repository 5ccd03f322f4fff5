/*
 * One version of the configuration: fully validated and immutable. A request
 * holds a reference to the version that was active when it was admitted.
 */
#ifndef DWS_VERSION_CONFIG_H
#define DWS_VERSION_CONFIG_H

#include "version/document.h"

/*
 * The platform limits its documents to 1 MB; translated to this format, they
 * take several times as much, as each route repeats its host.
 */
#define DWS_CONFIG_MAX_BYTES DWS_DOCUMENT_MAX_BYTES
#define DWS_NAME_SIZE 64
#define DWS_HEALTH_PATH_SIZE 128
#define DWS_CONFIG_MAX_ENTRIES 32768 /* services, kinds, routes, slowdowns */
/* Ranges of the values of a document; those outside are faults. */
#define DWS_ROUTE_TARGETS_MAX 1024
#define DWS_ROUTE_WEIGHT_MAX 1000000
#define DWS_ROUTE_ATTEMPTS_MAX 16
/* Bounded by the time left that a message between daemons can hold. */
#define DWS_ROUTE_TIME_MAX_MS (3600 * 1000)
#define DWS_SERVICE_CONNECTIONS_MAX 1000000
#define DWS_CALLERS_HEADER_MIN_BYTES 256
#define DWS_CALLERS_HEADER_MAX_BYTES (1024 * 1024)
#define DWS_CALLERS_BODY_MAX_BYTES (256 * 1024 * 1024)
#define DWS_CALLERS_TIME_MAX_MS (24 * 3600 * 1000)

/* A kind of work. Requests of higher priority are shed last. */
typedef struct dws_kind {
	char name[DWS_NAME_SIZE];
	char service[DWS_NAME_SIZE];
	char method[16]; /* "" matches every method */
	char path_prefix[128]; /* after the service; whole segments */
	uint8_t priority; /* 0 is shed first */
	uint32_t worth; /* relative weight among kinds of equal priority */
	bool idempotent;
	uint32_t calls_per_parent; /* nested calls that need no retry token */
	uint32_t retry_budget; /* retries in the tree of a root request */
	uint32_t timeout_ms;
} dws_kind_t;

/* One of the services among which a route distributes its requests. */
typedef struct dws_route_target {
	char service[DWS_NAME_SIZE];
	uint32_t weight; /* relative to the other targets of the route */
} dws_route_target_t;

/*
 * Handling of the requests for one host and path prefix. Requests of the routed
 * listener are classified by route, all others by kind.
 */
typedef struct dws_route {
	char name[DWS_NAME_SIZE];
	char *host; /* lower case, without a port */
	char *path_prefix; /* starts and ends with / */
	dws_route_target_t *targets; /* owned, as the texts above */
	uint32_t target_count;
	uint32_t total_weight; /* of all targets; above 0 */
	uint8_t priority; /* 0 is shed first */
	uint32_t worth; /* relative weight among routes of equal priority */
	bool idempotent;
	uint32_t timeout_ms; /* for the whole request */
	uint32_t objective_ms; /* latency up to which worth counts in full */
	uint32_t max_attempts; /* upstreams tried per request, at most */
} dws_route_t;

/* Limits on callers of the routed listener. */
struct dws_caller_limits {
	uint32_t max_header_bytes;
	uint32_t max_body_bytes;
	uint32_t header_timeout_ms; /* first byte to end of the header */
	uint32_t idle_timeout_ms; /* between requests, or parts of a body */
};

extern const dws_caller_limits_t dws_default_caller_limits;

typedef struct dws_service {
	char name[DWS_NAME_SIZE];
	uint32_t slots; /* per upstream; 0: from the process settings */
	char health_path[DWS_HEALTH_PATH_SIZE]; /* "" if there is none */
	uint32_t max_connections; /* per upstream; 0: no limit */
} dws_service_t;

/* A planned slowdown: delays requests of the customers notified of it. */
typedef struct dws_slowdown {
	char name[DWS_NAME_SIZE];
	int64_t start_ms; /* UTC */
	int64_t end_ms;
	uint32_t added_delay_ms;
	GPtrArray *kinds; /* char * */
	GPtrArray *customers; /* char *, to be notified */
	/* Set of char *: customers that were notified of exactly this plan. */
	GHashTable *notified;
} dws_slowdown_t;

typedef struct dws_config {
	uint32_t references;
	uint64_t version;
	GArray *services; /* dws_service_t */
	GArray *kinds; /* dws_kind_t; indexes never change in a version */
	GArray *routes; /* dws_route_t */
	GHashTable *routes_by_host; /* host to an index of its routes */
	dws_caller_limits_t caller_limits;
	GPtrArray *slowdowns; /* dws_slowdown_t *, owned */
	uint32_t customer_retries_per_min;
	uint32_t slowdown_freshness_ms;
	uint32_t slowdown_clock_skew_ms;
} dws_config_t;

/*
 * Parses and validates a YAML document. The result is freed with
 * dws_config_unref(). On failure NULL, and the error message lists the faults.
 */
dws_config_t *dws_config_parse(const char *text, size_t size_bytes,
			       const char *name, uint64_t version,
			       GError **error);
/*
 * The same from a parsed document. If name is NULL, the error message contains
 * no line numbers, so that it depends on the values of the document alone.
 */
dws_config_t *dws_config_build(const dws_value_t *document, const char *name,
			       uint64_t version, GError **error);
/* Adds a reference; returns the same configuration. */
dws_config_t *dws_config_ref(dws_config_t *config);
/* Drops a reference; the last one frees the configuration. Ignores NULL. */
void dws_config_unref(dws_config_t *config);

/*
 * Finds the kind of a request, whose path is "/service/rest?query": among the
 * kinds of the service and method, the one with the longest matching path
 * prefix; with equal prefixes, one for this method before one for all methods.
 * Borrowed. NULL if none matches, or if the path is ambiguous: with empty or
 * dot segments, backslashes, or percent-encoded slashes, backslashes or dots.
 */
const dws_kind_t *dws_config_match_kind(const dws_config_t *config,
					const char *method, const char *path);
/*
 * Finds the route of a request: among the routes of the host, the one with the
 * longest prefix of the path. The host is compared without its port and without
 * regard to case. NULL if none matches.
 */
const dws_route_t *dws_config_match_route(const dws_config_t *config,
					  const char *host, const char *path);
/*
 * Selects a target in proportion to the weights; draw is a random number that
 * is uniformly distributed from 0 to UINT32_MAX.
 */
const dws_route_target_t *dws_route_select_target(const dws_route_t *route,
						  uint32_t draw);
/* Lookups by name. Borrowed; NULL if there is none. */
const dws_kind_t *dws_config_find_kind(const dws_config_t *config,
				       const char *name);
const dws_service_t *dws_config_find_service(const dws_config_t *config,
					     const char *name);

/*
 * The record that confirms a customer's notification of exactly this slowdown:
 * "START/END/kind1+kind2", with start and end as written in the document and
 * the kinds sorted. Freed with g_free().
 */
char *dws_slowdown_notification_record(const dws_slowdown_t *slowdown,
				       const char *start, const char *end);

/*
 * The delay in ms that planned slowdowns add to a request. 0 unless the
 * customer was notified of the slowdown, its time window is open for any clock
 * error up to slowdown_clock_skew_ms, and the configuration is fresh: age_ms,
 * the time since it was last confirmed to be the newest, is from 0 to
 * slowdown_freshness_ms.
 */
uint32_t dws_config_slowdown_ms(const dws_config_t *config, const char *kind,
				const char *customer, int64_t wall_ms,
				int64_t age_ms);

#endif
