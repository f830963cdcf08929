#include "queues.h"

#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "kvwatcher.h"
#include "log.h"
#include "mem.h"

struct queues {
	struct kvwatcher *watcher;
	struct platform_config config;
	int is_known;
	int is_listed;
	struct evacuations evacuations;
	struct queues_handlers handlers;
	void *arg;
};

/* RETURN VALUE: whether the evacuations have changed. */
static int note_evacuation(struct queues *queues, const struct kv_item *item)
{
	const char *domain = platform_evacuation_domain(item->key);
	int err;

	if (!domain)
		return 0;
	if (!item->value)
		return evacuations_remove(&queues->evacuations, domain);
	err = evacuations_add(&queues->evacuations, domain);
	if (err)
		log_event(EV_EVACUATION_REJECTED, "revision=%lld err=%s",
			  (long long)item->revision, error_name(err));
	return !err;
}

static void report_evacuations(struct queues *queues)
{
	if (queues->handlers.on_evacuations)
		queues->handlers.on_evacuations(queues->arg,
						&queues->evacuations);
}

static void note_config(struct queues *queues, const struct kv_item *item)
{
	struct platform_config config = { 0 };

	if (strcmp(item->key, PLATFORM_CONFIG_KEY) != 0 || !item->value)
		return;
	if (platform_decode_config(item->value, item->len, &config)) {
		log_event(EV_QUEUES_REJECTED, "revision=%lld",
			  (long long)item->revision);
		return;
	}
	if (queues->is_known && config.version <= queues->config.version) {
		platform_config_clear(&config);
		return;
	}
	platform_config_clear(&queues->config);
	queues->config = config;
	queues->is_known = 1;
	log_event(EV_QUEUES_APPLIED,
		  "version=%lld queues=%zu rejected=%zu revision=%lld",
		  (long long)config.version, config.queue_count,
		  config.rejected_count, (long long)item->revision);
	if (queues->handlers.on_config)
		queues->handlers.on_config(queues->arg, &queues->config);
}

static void on_change(void *arg, const struct kv_item *item)
{
	struct queues *queues = arg;

	note_config(queues, item);
	if (note_evacuation(queues, item))
		report_evacuations(queues);
}

/* The list is complete: what it lacks has been taken back. */
static void on_list(void *arg, const struct kv_item *items, size_t count)
{
	struct queues *queues = arg;
	size_t i;

	queues->is_listed = 1;
	queues->evacuations.count = 0;
	for (i = 0; i < count; i++) {
		note_config(queues, &items[i]);
		note_evacuation(queues, &items[i]);
	}
	report_evacuations(queues);
}

struct queues *queues_new(struct loop *loop, struct kv *kv,
			  const struct queues_handlers *handlers, void *arg)
{
	static const struct kvwatcher_handlers watcher_handlers = {
		.on_list = on_list,
		.on_change = on_change,
	};
	struct queues *queues = xcalloc(1, sizeof(*queues));

	if (handlers)
		queues->handlers = *handlers;
	queues->arg = arg;
	queues->watcher = kvwatcher_new(loop, kv, PLATFORM_OPERATOR_PREFIX,
					&watcher_handlers, queues);
	return queues;
}

void queues_delete(struct queues *queues)
{
	if (!queues)
		return;
	kvwatcher_delete(queues->watcher);
	platform_config_clear(&queues->config);
	free(queues);
}

const struct platform_config *queues_config(const struct queues *queues)
{
	return queues->is_known ? &queues->config : NULL;
}

int queues_is_listed(const struct queues *queues)
{
	return queues->is_listed;
}

int64_t queues_stale_ms(const struct queues *queues)
{
	return kvwatcher_stale_ms(queues->watcher);
}
