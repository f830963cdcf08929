#include "plan.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"

static void apply_undrain(struct config *next, const char *domain)
{
	size_t i;

	for (i = 0; i < next->drained_count; i++) {
		if (strcmp(next->drained[i], domain))
			continue;
		next->drained_count--;
		memmove(next->drained[i], next->drained[i + 1],
			(next->drained_count - i) * sizeof(next->drained[0]));
		return;
	}
}

static void apply_unset_quota(struct config *next, const char *team)
{
	size_t i;

	for (i = 0; i < next->quota_count; i++) {
		if (strcmp(next->quotas[i].team, team))
			continue;
		next->quota_count--;
		memmove(&next->quotas[i], &next->quotas[i + 1],
			(next->quota_count - i) * sizeof(next->quotas[0]));
		return;
	}
}

static void apply_set_quota(struct config *next, const struct team_quota *quota)
{
	apply_unset_quota(next, quota->team);
	next->quotas[next->quota_count++] = *quota;
}

void plan_apply(const struct plan *plan, const struct config *config,
		struct config *next)
{
	const struct intent *intent = &plan->intent;
	char text[CONFIG_CHANGE_TEXT_SIZE];

	*next = *config;
	switch (intent->kind) {
	case INTENT_DRAIN:
		str_copy(next->drained[next->drained_count++], intent->u.domain,
			 NAME_SIZE);
		break;
	case INTENT_UNDRAIN:
		apply_undrain(next, intent->u.domain);
		break;
	case INTENT_SET_LIMIT:
	case INTENT_UNSET_LIMIT:
		next->limits[intent->u.limit.key] = intent->u.limit.value;
		break;
	case INTENT_SET_QUOTA:
		apply_set_quota(next, &intent->u.quota);
		break;
	case INTENT_UNSET_QUOTA:
		apply_unset_quota(next, intent->u.quota.team);
		break;
	case INTENT_SUBMIT:
	case INTENT_CANCEL:
	case INTENT_KIND_COUNT:
		abort();
	}
	config_record_change(next, config->version + 1, "",
			     intent_describe(intent, text, sizeof(text)));
}
