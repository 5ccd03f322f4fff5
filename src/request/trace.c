/*
 * Trace ids in the format of W3C Trace Context: "00-TRACE-PARENT-FLAGS".
 */
#include "request/trace.h"
#include <string.h>

#define TRACEPARENT_SIZE 55
#define TRACE_OFFSET 3
#define PARENT_OFFSET 36

/* Formats a trace id as 32 hexadecimal digits. */
void dws_trace_id_format(const uint8_t trace_id[DWS_TRACE_ID_SIZE],
			 char text[33])
{
	for (int i = 0; i < DWS_TRACE_ID_SIZE; i++)
		g_snprintf(text + 2 * i, 3, "%02x", trace_id[i]);
}

static bool is_lower_hex(const char *text, size_t digits)
{
	for (size_t i = 0; i < digits; i++) {
		if (!g_ascii_isxdigit(text[i]) || g_ascii_isupper(text[i]))
			return false;
	}
	return true;
}

/* Parses a traceparent header; false if it is absent or malformed. */
bool dws_traceparent_parse(const char *traceparent,
			   uint8_t trace_id[DWS_TRACE_ID_SIZE],
			   uint64_t *parent_span)
{
	static const uint8_t zero[DWS_TRACE_ID_SIZE];

	if (!traceparent || strlen(traceparent) != TRACEPARENT_SIZE ||
	    strncmp(traceparent, "00-", TRACE_OFFSET) != 0 ||
	    traceparent[PARENT_OFFSET - 1] != '-' ||
	    traceparent[PARENT_OFFSET + 16] != '-' ||
	    !is_lower_hex(traceparent + TRACE_OFFSET, 32) ||
	    !is_lower_hex(traceparent + PARENT_OFFSET, 16))
		return false;
	for (int i = 0; i < DWS_TRACE_ID_SIZE; i++) {
		const char *digits = traceparent + TRACE_OFFSET + 2 * i;

		trace_id[i] = (uint8_t)(g_ascii_xdigit_value(digits[0]) << 4 |
					g_ascii_xdigit_value(digits[1]));
	}
	*parent_span = g_ascii_strtoull(traceparent + PARENT_OFFSET, NULL, 16);
	return *parent_span != 0 && memcmp(trace_id, zero, sizeof(zero)) != 0;
}
