/*
 * Trace ids in the format of W3C Trace Context.
 */
#ifndef DWS_REQUEST_TRACE_H
#define DWS_REQUEST_TRACE_H

#include "dogwoodshift.h"

#define DWS_TRACE_ID_SIZE 16

/* Formats a trace id as 32 hexadecimal digits. */
void dws_trace_id_format(const uint8_t trace_id[DWS_TRACE_ID_SIZE],
			 char text[33]);
/* Parses a traceparent header; false if it is absent or malformed. */
bool dws_traceparent_parse(const char *traceparent,
			   uint8_t trace_id[DWS_TRACE_ID_SIZE],
			   uint64_t *parent_span);

#endif
