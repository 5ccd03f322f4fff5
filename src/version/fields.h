/*
 * Typed access to the keys of a document. All faults of a document are
 * collected into one error, with one line each: "name:line: key: fault;
 * remedy".
 */
#ifndef DWS_VERSION_FIELDS_H
#define DWS_VERSION_FIELDS_H

#include "version/document.h"

/* The faults found so far in a document. */
typedef struct dws_faults {
	const char *name; /* file name; NULL: without line numbers */
	GString *text;
	uint32_t count;
	dws_error_t kind; /* of the first fault */
} dws_faults_t;

/* A map of a document and the path of its keys. */
typedef struct dws_fields {
	dws_faults_t *faults;
	const dws_value_t *map;
	const char *path; /* "" at the root, else as in "kinds.browse." */
	uint32_t line;
} dws_fields_t;

/* The name must remain valid until dws_faults_finish(). */
void dws_faults_init(dws_faults_t *faults, const char *name);
/*
 * Frees the faults. True if there were none; otherwise sets the error, with the
 * code of the first fault.
 */
bool dws_faults_finish(dws_faults_t *faults, GError **error);
/* Adds a line for a fault. */
void dws_faults_add(dws_faults_t *faults, dws_error_t kind, uint32_t line,
		    const char *key, const char *format, ...)
	G_GNUC_PRINTF(5, 6);

/*
 * Prepares access to a map; path is empty or ends in ".". False, with a fault,
 * if the value is not a map.
 */
bool dws_fields_init(dws_fields_t *fields, dws_faults_t *faults,
		     const dws_value_t *value, const char *path);
/* Reports a fault of a key, with the line of the key or else of the map. */
void dws_fields_report(const dws_fields_t *fields, dws_error_t kind,
		       const char *key, const char *format, ...)
	G_GNUC_PRINTF(4, 5);
/* Reports each key of the map that is not in the list, with a suggestion. */
void dws_fields_reject_unknown(const dws_fields_t *fields,
			       const char *const *keys, size_t count);
/* The value of a key, borrowed; NULL if it is absent or null. */
const dws_value_t *dws_fields_get(const dws_fields_t *fields, const char *key);
/* True if a key is present and not null; otherwise reports a fault. */
bool dws_fields_require(const dws_fields_t *fields, const char *key);

/*
 * Read one key. If it is absent or null, they return false and leave the target
 * unchanged, so that it keeps its default. An invalid value is reported as a
 * fault in addition.
 */
/* A decimal integer between min and max. */
bool dws_fields_number(const dws_fields_t *fields, const char *key,
		       uint32_t min, uint32_t max, uint32_t *number);
/* "true" or "false". */
bool dws_fields_bool(const dws_fields_t *fields, const char *key, bool *flag);
/* A decimal number from 0 to 1. */
bool dws_fields_fraction(const dws_fields_t *fields, const char *key,
			 double *fraction);
/* A duration with its unit, as "1500ms" or "2.5s"; the result is in ms. */
bool dws_fields_duration(const dws_fields_t *fields, const char *key,
			 uint32_t min_ms, uint32_t max_ms, uint32_t *time_ms);
/* A text without control characters; size_bytes includes the final NUL. */
bool dws_fields_text(const dws_fields_t *fields, const char *key, char *text,
		     size_t size_bytes);
/*
 * A text of any length without control characters, freed with g_free(); NULL if
 * it is absent or invalid.
 */
char *dws_fields_dup_text(const dws_fields_t *fields, const char *key);
/* A name; see dws_is_valid_name(). */
bool dws_fields_name(const dws_fields_t *fields, const char *key, char *name,
		     size_t size_bytes);
/* "IP:PORT"; an IPv6 address is enclosed in brackets. */
bool dws_fields_address(const dws_fields_t *fields, const char *key,
			dws_address_t *address);

/* Parses a duration such as "1500ms" or "2.5s"; false if it is invalid. */
bool dws_duration_parse_any(const char *text, double *time_ms);
/* The same; false also if it is longer than max_ms. */
bool dws_duration_parse(const char *text, uint32_t max_ms, uint32_t *time_ms);
/*
 * True if a text consists of letters, digits, "-", "_" and ".", starts with a
 * letter or digit, and fits a buffer of size_bytes with its final NUL.
 */
bool dws_is_valid_name(const char *text, size_t size_bytes);
/*
 * Parses "IP:PORT" with a numeric address, never a host name; an IPv6 address
 * is enclosed in brackets. On failure the address is empty.
 */
bool dws_address_parse(dws_address_t *address, const char *text);
/* True if only the local machine can reach an address. */
bool dws_address_is_loopback(const dws_address_t *address);

#endif
