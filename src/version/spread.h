/*
 * How configuration and the VM list reach this process: read from the
 * platform by the readers of each zone, pulled from peers by all.
 */
#ifndef DWS_VERSION_SPREAD_H
#define DWS_VERSION_SPREAD_H

#include "process/node_internal.h"

/* Starts reads of the platform that are due. */
void dws_spread_tick(dws_node_t *node);
/* When dws_spread_tick() is to be called next. */
int64_t dws_spread_due_us(const dws_node_t *node);
/* Sets what this process claims about the platform's documents. */
void dws_spread_set_claim(dws_node_t *node);
void dws_spread_on_claim(dws_node_t *node, const char *vm_id,
			 const dws_address_t *frame, const dws_claim_t *claim);
void dws_spread_on_platform_read(dws_node_t *node, dws_platform_item_t item,
				 bool ok, const char *text, size_t size_bytes);
void dws_spread_on_pull(dws_node_t *node, const dws_origin_t *from,
			const Dws__Pull *pull);
void dws_spread_on_document(dws_node_t *node, const dws_origin_t *from,
			    const Dws__Document *document);

#endif
