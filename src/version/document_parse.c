/*
 * Parser of documents, on the events of libyaml.
 */
#include "version/document.h"
#include <yaml.h>

/* A collection whose end has not been read yet. */
typedef struct dws_open {
	dws_value_t *value;
	char *key; /* map: the key that waits for its value */
	uint32_t key_line;
} dws_open_t;

typedef struct dws_parse {
	const char *name;
	GError **error;
	dws_open_t open[DWS_DOCUMENT_MAX_DEPTH];
	uint32_t depth;
	uint32_t values;
	dws_value_t *root;
	bool has_document;
	bool ended;
} dws_parse_t;

/* Sets a syntax error at a line and returns false. */
static bool fail(const dws_parse_t *parse, size_t line, const char *fault)
{
	g_set_error(parse->error, DWS_ERROR, DWS_ERROR_SYNTAX, "%s:%zu: %s",
		    parse->name, line + 1, fault);
	return false;
}

/* Describes the place and fault that libyaml found. */
static bool fail_in_library(const dws_parse_t *parse,
			    const yaml_parser_t *parser)
{
	const char *problem = parser->problem ? parser->problem : "no YAML";

	g_set_error(parse->error, DWS_ERROR, DWS_ERROR_SYNTAX,
		    "%s:%zu: %s; mend the YAML there", parse->name,
		    parser->problem_mark.line + 1, problem);
	return false;
}

/* Keeps the text of a key until its value comes. */
static bool take_key(dws_parse_t *parse, dws_open_t *open,
		     const yaml_event_t *event)
{
	size_t line = event->start_mark.line;

	if (event->type != YAML_SCALAR_EVENT)
		return fail(parse, line, "a key is no text; use plain keys");
	if (event->data.scalar.length > DWS_DOCUMENT_MAX_KEY_BYTES)
		return fail(parse, line,
			    "a key is over 128 bytes; use a shorter one");
	open->key = g_strdup((const char *)event->data.scalar.value);
	open->key_line = (uint32_t)line + 1;
	return true;
}

/* The collection that is being read; NULL at the root. */
static dws_open_t *innermost(dws_parse_t *parse)
{
	return parse->depth ? &parse->open[parse->depth - 1] : NULL;
}

/* Hands a value to the collection that it belongs to. */
static bool add_value(dws_parse_t *parse, dws_value_t *value)
{
	dws_open_t *open = innermost(parse);

	if (!open) {
		parse->root = value;
		return true;
	}

	if (open->value->type == DWS_VALUE_LIST) {
		dws_value_append(open->value, value);
		return true;
	}
	bool is_new =
		dws_value_put(open->value, open->key, open->key_line, value);

	if (!is_new)
		g_set_error(parse->error, DWS_ERROR, DWS_ERROR_SYNTAX,
			    "%s:%u: %s: duplicate key; keep one of them",
			    parse->name, open->key_line, open->key);
	g_clear_pointer(&open->key, g_free);
	return is_new;
}

/* Refuses anchors, tags, and more values than allowed. */
static bool check_value(dws_parse_t *parse, const yaml_event_t *event,
			const yaml_char_t *anchor, const yaml_char_t *tag)
{
	size_t line = event->start_mark.line;

	if (anchor)
		return fail(parse, line,
			    "anchors are not allowed; write the value out");
	if (tag)
		return fail(parse, line,
			    "tags are not allowed; write the plain value");
	if (++parse->values > DWS_DOCUMENT_MAX_VALUES)
		return fail(
			parse, line,
			"more than 262144 values; make the document smaller");
	return true;
}

/* Takes a scalar, as a key or as a value. */
static bool take_scalar(dws_parse_t *parse, const yaml_event_t *event)
{
	size_t line = event->start_mark.line;
	const char *text = (const char *)event->data.scalar.value;

	if (!check_value(parse, event, event->data.scalar.anchor,
			 event->data.scalar.tag))
		return false;
	if (strlen(text) != event->data.scalar.length)
		return fail(parse, line, "a text holds a zero byte; remove it");
	dws_open_t *open = innermost(parse);

	if (open && open->value->type == DWS_VALUE_MAP && !open->key)
		return take_key(parse, open, event);
	return add_value(parse,
			 dws_value_new_scalar(text,
					      event->data.scalar.style !=
						      YAML_PLAIN_SCALAR_STYLE,
					      (uint32_t)line + 1));
}

/* Starts a collection. */
static bool open_collection(dws_parse_t *parse, const yaml_event_t *event,
			    dws_value_type_t type)
{
	size_t line = event->start_mark.line;

	if (parse->depth == DWS_DOCUMENT_MAX_DEPTH)
		return fail(parse, line,
			    "nested deeper than 32; flatten the document");
	dws_open_t *open = innermost(parse);

	if (open && open->value->type == DWS_VALUE_MAP && !open->key)
		return take_key(parse, open, event);
	open = &parse->open[parse->depth++];
	open->value = type == DWS_VALUE_MAP
			      ? dws_value_new_map((uint32_t)line + 1)
			      : dws_value_new_list((uint32_t)line + 1);
	return true;
}

/* Ends the innermost collection and hands it to the one around it. */
static bool close_collection(dws_parse_t *parse)
{
	if (parse->depth == 0)
		return fail(parse, 0, "an end without a start; mend the YAML");
	dws_value_t *value = parse->open[--parse->depth].value;

	parse->open[parse->depth].value = NULL;
	return add_value(parse, value);
}

/* Takes one event; false if the document is refused. */
static bool take_event(dws_parse_t *parse, const yaml_event_t *event)
{
	switch (event->type) {
	case YAML_DOCUMENT_START_EVENT:
		if (parse->has_document)
			return fail(parse, event->start_mark.line,
				    "a second document; keep one to a file");
		parse->has_document = true;
		return true;
	case YAML_ALIAS_EVENT:
		return fail(parse, event->start_mark.line,
			    "aliases are not allowed; write the value out");
	case YAML_SCALAR_EVENT:
		return take_scalar(parse, event);
	case YAML_MAPPING_START_EVENT:
		return check_value(parse, event,
				   event->data.mapping_start.anchor,
				   event->data.mapping_start.tag) &&
		       open_collection(parse, event, DWS_VALUE_MAP);
	case YAML_SEQUENCE_START_EVENT:
		return check_value(parse, event,
				   event->data.sequence_start.anchor,
				   event->data.sequence_start.tag) &&
		       open_collection(parse, event, DWS_VALUE_LIST);
	case YAML_MAPPING_END_EVENT:
	case YAML_SEQUENCE_END_EVENT:
		return close_collection(parse);
	case YAML_STREAM_END_EVENT:
		parse->ended = true;
		return true;
	default:
		return true;
	}
}

/* Reads events until the end of the stream or the first fault. */
static bool run_parser(dws_parse_t *parse, yaml_parser_t *parser)
{
	while (!parse->ended) {
		yaml_event_t event;

		if (!yaml_parser_parse(parser, &event))
			return fail_in_library(parse, parser);
		bool ok = take_event(parse, &event);

		yaml_event_delete(&event);
		if (!ok)
			return false;
	}
	if (!parse->root)
		return fail(parse, 0, "the document is empty; write its keys");
	return true;
}

/* Frees what a refused document left behind. */
static void discard(dws_parse_t *parse)
{
	for (uint32_t i = 0; i < parse->depth; i++) {
		dws_value_unref(parse->open[i].value);
		g_free(parse->open[i].key);
	}
	dws_value_unref(parse->root);
}

/*
 * Parses one YAML document of at most max_bytes. Returns a tree that the
 * caller drops with dws_value_unref(), or NULL with an error of the kind
 * SYNTAX or TOO_LARGE that names the first fault.
 */
dws_value_t *dws_document_parse_up_to(size_t max_bytes, const char *text,
				      size_t size_bytes, const char *name,
				      GError **error)
{
	dws_parse_t parse = {.name = name, .error = error};
	yaml_parser_t parser;

	if (size_bytes > max_bytes) {
		g_set_error(error, DWS_ERROR, DWS_ERROR_TOO_LARGE,
			    "%s: %zu bytes are over the limit of %zu; make the "
			    "document smaller",
			    name, size_bytes, max_bytes);
		return NULL;
	}
	if (!yaml_parser_initialize(&parser)) {
		g_set_error(error, DWS_ERROR, DWS_ERROR_SYSTEM,
			    "%s: no memory for the parser; free some", name);
		return NULL;
	}
	yaml_parser_set_encoding(&parser, YAML_UTF8_ENCODING);
	yaml_parser_set_input_string(&parser, (const unsigned char *)text,
				     size_bytes);
	bool ok = run_parser(&parse, &parser);

	yaml_parser_delete(&parser);
	if (ok)
		return parse.root;
	discard(&parse);
	return NULL;
}

/* Parses one YAML document of at most DWS_DOCUMENT_MAX_BYTES. */
dws_value_t *dws_document_parse(const char *text, size_t size_bytes,
				const char *name, GError **error)
{
	return dws_document_parse_up_to(DWS_DOCUMENT_MAX_BYTES, text,
					size_bytes, name, error);
}
