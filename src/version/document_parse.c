/*
 * Parser of documents, based on the event API of libyaml.
 */
#include "version/document.h"
#include <yaml.h>

/* A map or list whose end event has not been read yet. */
typedef struct open_collection {
	dws_value_t *value;
	char *key; /* map: the key whose value comes next */
	uint32_t key_line;
} open_collection_t;

typedef struct parse_state {
	const char *name;
	GError **error;
	open_collection_t open[DWS_DOCUMENT_MAX_DEPTH];
	uint32_t depth;
	uint32_t values;
	dws_value_t *root;
	bool has_document;
	bool ended;
} parse_state_t;

/* Sets a syntax error; line is counted from 0. Returns false. */
static bool set_error(const parse_state_t *parse, size_t line,
		      const char *fault)
{
	g_set_error(parse->error, DWS_ERROR, DWS_ERROR_SYNTAX, "%s:%zu: %s",
		    parse->name, line + 1, fault);
	return false;
}

/* Sets the syntax error that libyaml reported. Returns false. */
static bool fail_with_libyaml_error(const parse_state_t *parse,
				    const yaml_parser_t *parser)
{
	const char *problem =
		parser->problem ? parser->problem : "not valid YAML";

	g_set_error(parse->error, DWS_ERROR, DWS_ERROR_SYNTAX,
		    "%s:%zu: %s; correct the YAML there", parse->name,
		    parser->problem_mark.line + 1, problem);
	return false;
}

/* Stores a key until its value is read. */
static bool handle_key(parse_state_t *parse, open_collection_t *open,
		       const yaml_event_t *event)
{
	size_t line = event->start_mark.line;

	if (event->type != YAML_SCALAR_EVENT)
		return set_error(parse, line,
				 "a key is not a scalar; use plain keys");
	if (event->data.scalar.length > DWS_DOCUMENT_MAX_KEY_BYTES)
		return set_error(parse, line,
				 "a key is over 128 bytes; use a shorter one");
	open->key = g_strdup((const char *)event->data.scalar.value);
	open->key_line = (uint32_t)line + 1;
	return true;
}

/* The innermost open collection; NULL at the root. */
static open_collection_t *innermost(parse_state_t *parse)
{
	return parse->depth ? &parse->open[parse->depth - 1] : NULL;
}

/* Adds a value to the innermost open collection, or makes it the root. */
static bool add_value(parse_state_t *parse, dws_value_t *value)
{
	open_collection_t *open = innermost(parse);

	if (!open) {
		parse->root = value;
		return true;
	}

	if (open->value->type == DWS_VALUE_LIST) {
		dws_value_list_append(open->value, value);
		return true;
	}
	bool is_new = dws_value_map_insert(open->value, open->key,
					   open->key_line, value);

	if (!is_new)
		g_set_error(parse->error, DWS_ERROR, DWS_ERROR_SYNTAX,
			    "%s:%u: %s: duplicate key; keep one of them",
			    parse->name, open->key_line, open->key);
	g_clear_pointer(&open->key, g_free);
	return is_new;
}

/* Rejects anchors, tags, and values beyond DWS_DOCUMENT_MAX_VALUES. */
static bool check_value(parse_state_t *parse, const yaml_event_t *event,
			const yaml_char_t *anchor, const yaml_char_t *tag)
{
	size_t line = event->start_mark.line;

	if (anchor)
		return set_error(
			parse, line,
			"anchors are not allowed; write the value out");
	if (tag)
		return set_error(parse, line,
				 "tags are not allowed; write the plain value");
	if (++parse->values > DWS_DOCUMENT_MAX_VALUES)
		return set_error(
			parse, line,
			"more than 524288 values; make the document smaller");
	return true;
}

/* Handles a scalar, which is a key or a value. */
static bool handle_scalar(parse_state_t *parse, const yaml_event_t *event)
{
	size_t line = event->start_mark.line;
	const char *text = (const char *)event->data.scalar.value;

	if (!check_value(parse, event, event->data.scalar.anchor,
			 event->data.scalar.tag))
		return false;
	if (strlen(text) != event->data.scalar.length)
		return set_error(parse, line,
				 "a scalar contains a NUL byte; remove it");
	open_collection_t *open = innermost(parse);

	if (open && open->value->type == DWS_VALUE_MAP && !open->key)
		return handle_key(parse, open, event);
	return add_value(parse,
			 dws_value_new_scalar(text,
					      event->data.scalar.style !=
						      YAML_PLAIN_SCALAR_STYLE,
					      (uint32_t)line + 1));
}

static bool open_collection(parse_state_t *parse, const yaml_event_t *event,
			    dws_value_type_t type)
{
	size_t line = event->start_mark.line;

	if (parse->depth == DWS_DOCUMENT_MAX_DEPTH)
		return set_error(parse, line,
				 "nested deeper than 32; flatten the document");
	open_collection_t *open = innermost(parse);

	if (open && open->value->type == DWS_VALUE_MAP && !open->key)
		return handle_key(parse, open, event);
	open = &parse->open[parse->depth++];
	open->value = type == DWS_VALUE_MAP
			      ? dws_value_new_map((uint32_t)line + 1)
			      : dws_value_new_list((uint32_t)line + 1);
	return true;
}

/* Closes the innermost collection and adds it to its parent. */
static bool close_collection(parse_state_t *parse)
{
	if (parse->depth == 0)
		return set_error(parse, 0,
				 "end of a collection without its start; "
				 "correct the YAML");
	dws_value_t *value = parse->open[--parse->depth].value;

	parse->open[parse->depth].value = NULL;
	return add_value(parse, value);
}

/* Handles one event; false with an error if the document is rejected. */
static bool handle_event(parse_state_t *parse, const yaml_event_t *event)
{
	switch (event->type) {
	case YAML_DOCUMENT_START_EVENT:
		if (parse->has_document)
			return set_error(
				parse, event->start_mark.line,
				"a second document; keep one per file");
		parse->has_document = true;
		return true;
	case YAML_ALIAS_EVENT:
		return set_error(
			parse, event->start_mark.line,
			"aliases are not allowed; write the value out");
	case YAML_SCALAR_EVENT:
		return handle_scalar(parse, event);
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

/* Handles events until the end of the stream or the first error. */
static bool run_parser(parse_state_t *parse, yaml_parser_t *parser)
{
	while (!parse->ended) {
		yaml_event_t event;

		if (!yaml_parser_parse(parser, &event))
			return fail_with_libyaml_error(parse, parser);
		bool ok = handle_event(parse, &event);

		yaml_event_delete(&event);
		if (!ok)
			return false;
	}
	if (!parse->root)
		return set_error(parse, 0,
				 "the document is empty; write its keys");
	return true;
}

/* Frees the partial tree of a rejected document. */
static void free_partial_tree(parse_state_t *parse)
{
	for (uint32_t i = 0; i < parse->depth; i++) {
		dws_value_unref(parse->open[i].value);
		g_free(parse->open[i].key);
	}
	dws_value_unref(parse->root);
}

dws_value_t *dws_document_parse_limited(size_t max_bytes, const char *text,
					size_t size_bytes, const char *name,
					GError **error)
{
	parse_state_t parse = {.name = name, .error = error};
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
			    "%s: out of memory for the YAML parser", name);
		return NULL;
	}
	yaml_parser_set_encoding(&parser, YAML_UTF8_ENCODING);
	yaml_parser_set_input_string(&parser, (const unsigned char *)text,
				     size_bytes);
	bool ok = run_parser(&parse, &parser);

	yaml_parser_delete(&parser);
	if (ok)
		return parse.root;
	free_partial_tree(&parse);
	return NULL;
}

dws_value_t *dws_document_parse(const char *text, size_t size_bytes,
				const char *name, GError **error)
{
	return dws_document_parse_limited(DWS_DOCUMENT_MAX_BYTES, text,
					  size_bytes, name, error);
}
