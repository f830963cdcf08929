#include "queues.h"

#include <stdlib.h>
#include <string.h>

#include "kvwatcher.h"
#include "log.h"
#include "mem.h"

struct queues {
	struct kvwatcher *watcher;
	struct platform_config config;
	int is_known;
	queues_changed_fn fn;
	void *arg;
};

static void on_change(void *arg, const struct kv_item *item)
{
	struct queues *queues = arg;
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
	if (queues->fn)
		queues->fn(queues->arg, &queues->config);
}

static void on_list(void *arg, const struct kv_item *items, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		on_change(arg, &items[i]);
}

struct queues *queues_new(struct loop *loop, struct kv *kv,
			  queues_changed_fn fn, void *arg)
{
	static const struct kvwatcher_handlers handlers = {
		.on_list = on_list,
		.on_change = on_change,
	};
	struct queues *queues = xcalloc(1, sizeof(*queues));

	queues->fn = fn;
	queues->arg = arg;
	queues->watcher = kvwatcher_new(loop, kv, PLATFORM_OPERATOR_PREFIX,
					&handlers, queues);
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

int64_t queues_stale_ms(const struct queues *queues)
{
	return kvwatcher_stale_ms(queues->watcher);
}
