#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "list.h"
#include "loop.h"
#include "mem.h"
#include "rng.h"
#include "sysclock.h"
#include "transport.h"

/*
 * NAME
 *	bench_fleet - simulates many agents of real entries in one process
 *
 * NOTES
 *	Sends the announcements and task reports of AGENTS agents with the
 *	product's codec and transport, at the intervals of the agent daemon,
 *	and executes task commands on a list of runs. A run ends after TASK_MS,
 *	or only by a stop if that is 0. USR1 restarts all agents at once: new
 *	incarnations, new connections, no runs. TERM ends the process. Prints
 *	the counters since the start as JSON every STATS_INTERVAL_MS.
 */
#define AGENTS_MAX 1024
#define FLEET_ENTRIES_MAX 16
#define CONNECTIONS_MAX 1000 /* a ZeroMQ context has at most 1023 sockets */
#define ANNOUNCE_INTERVAL_MS 1000
#define REPORT_INTERVAL_MS 1000
#define STATS_INTERVAL_MS 250
#define REPORT_TASKS_MAX 128
#define PARTITIONS_MAX 64
#define AGENT_CPU_MILLI 64000
#define AGENT_MEM_MB 250000

struct agent;

struct entry_link {
	struct agent *agent;
	struct transport *transport;
	uint64_t directory_hash;
};

struct run {
	struct list node;
	uint32_t partition;
	char job[ID_SIZE];
	uint64_t number;
	enum task_state state;
	struct resources reserved;
	struct mstime ends_at;
	uint64_t end_report_seq; /* first report with the end; 0 before */
};

struct partition_owner {
	struct entry_link *link;
	uint64_t epoch;
	uint64_t sent_seq, acked_seq;
};

struct agent {
	struct fleet *fleet;
	char name[NAME_SIZE];
	char domain[NAME_SIZE], rack[NAME_SIZE];
	uint64_t incarnation, seq, report_seq, config_version;
	struct entry_link entry_links[FLEET_ENTRIES_MAX];
	struct list runs;
	struct partition_owner owners[PARTITIONS_MAX];
	struct loop_timer *announce_timer, *report_timer;
};

struct fleet {
	struct loop *loop;
	struct loop_timer *stats_timer;
	struct rng rng;
	int agent_count, entry_count, task_ms;
	char **addresses;
	struct agent *agents[AGENTS_MAX];
	struct transport_stats closed_stats; /* of replaced transports */
	int64_t received[MSG_TYPE_COUNT], sent[MSG_TYPE_COUNT];
	int64_t start_count, end_count, stop_count;
};

static void send_message(struct entry_link *link, const struct message *msg)
{
	if (!transport_send(link->transport, NULL, msg))
		link->agent->fleet->sent[msg->type]++;
}

static int64_t announce_delay_ms(struct fleet *fleet)
{
	uint32_t jitter_ms = ANNOUNCE_INTERVAL_MS * 2 / 5;

	return ANNOUNCE_INTERVAL_MS - jitter_ms / 2 +
	       rng_below(&fleet->rng, jitter_ms + 1);
}

static void fill_load(const struct agent *agent, struct load *load)
{
	const struct list *pos;

	load->in_flight = 2;
	load->connections = 4;
	load->latency_ms = 12;
	list_for_each (pos, &agent->runs) {
		const struct run *run = list_entry(pos, struct run, node);

		if (run->state != TASK_RUNNING)
			continue;
		load->used.cpu_milli += run->reserved.cpu_milli;
		load->used.mem_mb += run->reserved.mem_mb;
	}
}

static void send_announcement(void *arg)
{
	struct agent *agent = arg;
	struct fleet *fleet = agent->fleet;
	struct message msg = { .type = MSG_ANNOUNCE };
	struct msg_announce *announce = &msg.u.announce;
	int i;

	str_copy(announce->agent, agent->name, sizeof(announce->agent));
	str_copy(announce->service, "stock", sizeof(announce->service));
	str_copy(announce->region, "a", sizeof(announce->region));
	str_copy(announce->domain, agent->domain, sizeof(announce->domain));
	str_copy(announce->rack, agent->rack, sizeof(announce->rack));
	announce->incarnation = agent->incarnation;
	announce->seq = ++agent->seq;
	announce->slots = 8;
	announce->connections = 64;
	announce->capacity =
		(struct resources){ AGENT_CPU_MILLI, AGENT_MEM_MB, 1 };
	announce->state = AGENT_READY;
	announce->config_version = agent->config_version;
	fill_load(agent, &announce->load);
	for (i = 0; i < fleet->entry_count; i++) {
		announce->directory_hash = agent->entry_links[i].directory_hash;
		send_message(&agent->entry_links[i], &msg);
	}
	loop_timer_start(agent->announce_timer, announce_delay_ms(fleet));
}

static void fill_task_status(struct run *run, uint64_t seq,
			     struct task_status *status)
{
	memset(status, 0, sizeof(*status));
	str_copy(status->job, run->job, sizeof(status->job));
	status->run = run->number;
	status->state = run->state;
	status->used = run->reserved;
	status->checkpoint = run->state == TASK_RUNNING ? "" : "step-000150";
	status->detail = "";
	if (run->state != TASK_RUNNING && !run->end_report_seq)
		run->end_report_seq = seq;
}

static void send_report(struct agent *agent, uint32_t partition)
{
	struct partition_owner *owner = &agent->owners[partition];
	struct task_status tasks[REPORT_TASKS_MAX];
	struct message msg = { .type = MSG_TASK_REPORT };
	struct msg_task_report *report = &msg.u.task_report;
	struct list *pos;

	report->seq = ++agent->report_seq;
	report->partition = partition;
	report->epoch = owner->epoch;
	str_copy(report->agent, agent->name, sizeof(report->agent));
	report->tasks.items = tasks;
	list_for_each (pos, &agent->runs) {
		struct run *run = list_entry(pos, struct run, node);

		if (run->partition == partition &&
		    report->tasks.count < REPORT_TASKS_MAX)
			fill_task_status(run, report->seq,
					 &tasks[report->tasks.count++]);
	}
	if (!report->tasks.count)
		return;
	owner->sent_seq = report->seq;
	send_message(owner->link, &msg);
}

static void finish_due_runs(struct agent *agent, struct mstime now)
{
	struct list *pos;

	list_for_each (pos, &agent->runs) {
		struct run *run = list_entry(pos, struct run, node);

		if (run->state != TASK_RUNNING || !run->ends_at.ms ||
		    mstime_before(now, run->ends_at))
			continue;
		run->state = TASK_FINISHED;
		agent->fleet->end_count++;
	}
}

static void send_reports(void *arg)
{
	struct agent *agent = arg;
	uint32_t i;

	finish_due_runs(agent, sysclock_now());
	for (i = 0; i < PARTITIONS_MAX && !list_empty(&agent->runs); i++)
		if (agent->owners[i].link)
			send_report(agent, i);
	loop_timer_start(agent->report_timer, REPORT_INTERVAL_MS);
}

static void set_owner(struct entry_link *link, uint32_t partition,
		      uint64_t epoch)
{
	struct partition_owner *owner = &link->agent->owners[partition];

	if (epoch < owner->epoch ||
	    (epoch == owner->epoch && owner->link == link))
		return;
	owner->link = link;
	owner->epoch = epoch;
	loop_timer_start(link->agent->report_timer, 0);
}

static struct run *find_run(struct agent *agent, const char *job)
{
	struct list *pos;

	list_for_each (pos, &agent->runs) {
		struct run *run = list_entry(pos, struct run, node);

		if (!strcmp(run->job, job))
			return run;
	}
	return NULL;
}

static void on_task_start(struct entry_link *link,
			  const struct msg_task_start *msg)
{
	struct agent *agent = link->agent;
	struct run *run = find_run(agent, msg->job);

	if (run && run->number >= msg->run)
		return;
	if (!run) {
		run = xcalloc(1, sizeof(*run));
		list_add_tail(&agent->runs, &run->node);
	}
	run->partition = msg->partition;
	str_copy(run->job, msg->job, sizeof(run->job));
	run->number = msg->run;
	run->state = TASK_RUNNING;
	run->reserved = msg->reserved;
	run->end_report_seq = 0;
	run->ends_at.ms = 0;
	if (agent->fleet->task_ms)
		run->ends_at =
			mstime_add(sysclock_now(), agent->fleet->task_ms);
	agent->fleet->start_count++;
	loop_timer_start(agent->report_timer, 0);
}

static void on_task_stop(struct entry_link *link,
			 const struct msg_task_stop *msg)
{
	struct run *run = find_run(link->agent, msg->job);

	if (!run || run->number != msg->run || run->state != TASK_RUNNING)
		return;
	run->state = TASK_STOPPED;
	link->agent->fleet->stop_count++;
	loop_timer_start(link->agent->report_timer, 0);
}

static void on_report_ack(struct entry_link *link,
			  const struct msg_task_report_ack *ack)
{
	struct agent *agent = link->agent;
	struct list *pos, *tmp;

	agent->owners[ack->partition].acked_seq = ack->seq;
	if (!ack->ends_recorded)
		return;
	list_for_each_safe (pos, tmp, &agent->runs) {
		struct run *run = list_entry(pos, struct run, node);

		if (run->partition != ack->partition || !run->end_report_seq ||
		    run->end_report_seq > ack->seq)
			continue;
		list_del(pos);
		free(run);
	}
}

static uint32_t partition_of(const struct message *msg)
{
	switch (msg->type) {
	case MSG_TASK_START:
		return msg->u.task_start.partition;
	case MSG_TASK_STOP:
		return msg->u.task_stop.partition;
	case MSG_TASK_REPORT_ACK:
		return msg->u.task_report_ack.partition;
	case MSG_OWNER:
		return msg->u.owner.partition;
	default:
		return 0;
	}
}

static void on_message(void *arg, const char *peer, const struct message *msg)
{
	struct entry_link *link = arg;
	struct agent *agent = link->agent;

	agent->fleet->received[msg->type]++;
	if (partition_of(msg) >= PARTITIONS_MAX)
		return;
	switch (msg->type) {
	case MSG_ANNOUNCE_ACK:
		link->directory_hash = msg->u.announce_ack.directory_hash;
		break;
	case MSG_CONFIG:
		if (msg->u.config.version > agent->config_version)
			agent->config_version = msg->u.config.version;
		break;
	case MSG_TASK_START:
		set_owner(link, msg->u.task_start.partition,
			  msg->u.task_start.epoch);
		on_task_start(link, &msg->u.task_start);
		break;
	case MSG_TASK_STOP:
		on_task_stop(link, &msg->u.task_stop);
		break;
	case MSG_TASK_REPORT_ACK:
		on_report_ack(link, &msg->u.task_report_ack);
		break;
	case MSG_OWNER:
		set_owner(link, msg->u.owner.partition, msg->u.owner.epoch);
		break;
	default:
		break;
	}
}

static void connect_entries(struct agent *agent)
{
	char id[2 * ID_SIZE];
	int i;

	snprintf(id, sizeof(id), "%s/%" PRIu64, agent->name,
		 agent->incarnation);
	for (i = 0; i < agent->fleet->entry_count; i++) {
		struct entry_link *link = &agent->entry_links[i];

		memset(link, 0, sizeof(*link));
		link->agent = agent;
		link->transport = transport_client_new(
			agent->fleet->loop, agent->fleet->addresses[i], id,
			on_message, link);
		if (!link->transport)
			abort();
	}
	loop_timer_start(agent->announce_timer, 0);
}

static void delete_runs(struct agent *agent)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &agent->runs) {
		list_del(pos);
		free(list_entry(pos, struct run, node));
	}
}

static void disconnect_entries(struct agent *agent)
{
	struct transport_stats *closed = &agent->fleet->closed_stats;
	int i;

	for (i = 0; i < agent->fleet->entry_count; i++) {
		const struct transport_stats *stats =
			transport_stats(agent->entry_links[i].transport);

		closed->bytes_in += stats->bytes_in;
		closed->bytes_out += stats->bytes_out;
		closed->refused_out += stats->refused_out;
		transport_delete(agent->entry_links[i].transport);
	}
}

static void agent_new(struct fleet *fleet, int number)
{
	struct agent *agent = xcalloc(1, sizeof(*agent));

	fleet->agents[number] = agent;
	agent->fleet = fleet;
	snprintf(agent->name, sizeof(agent->name), "vm-%05d", number);
	snprintf(agent->domain, sizeof(agent->domain), "a%d", number % 9 + 1);
	snprintf(agent->rack, sizeof(agent->rack), "r%d", number / 3);
	agent->incarnation = (uint64_t)sysclock_wall_ms();
	list_init(&agent->runs);
	agent->announce_timer =
		loop_timer_new(fleet->loop, send_announcement, agent);
	agent->report_timer = loop_timer_new(fleet->loop, send_reports, agent);
	connect_entries(agent);
	loop_timer_start(agent->report_timer,
			 number * REPORT_INTERVAL_MS / 1000);
}

static void agent_delete(struct agent *agent)
{
	disconnect_entries(agent);
	delete_runs(agent);
	loop_timer_delete(agent->announce_timer);
	loop_timer_delete(agent->report_timer);
	free(agent);
}

static void restart_agents(void *arg)
{
	struct fleet *fleet = arg;
	int i;

	for (i = 0; i < fleet->agent_count; i++)
		disconnect_entries(fleet->agents[i]);
	for (i = 0; i < fleet->agent_count; i++) {
		struct agent *agent = fleet->agents[i];

		delete_runs(agent);
		agent->incarnation++;
		agent->seq = 0;
		memset(agent->owners, 0, sizeof(agent->owners));
		connect_entries(agent);
	}
}

struct totals {
	int64_t bytes_in, bytes_out, refused, running, ended, unacked;
	uint64_t min_version, max_version;
};

static void add_agent_totals(const struct agent *agent, struct totals *totals)
{
	const struct list *pos;
	int i;

	for (i = 0; i < agent->fleet->entry_count; i++) {
		const struct transport_stats *stats =
			transport_stats(agent->entry_links[i].transport);

		totals->bytes_in += stats->bytes_in;
		totals->bytes_out += stats->bytes_out;
		totals->refused += stats->refused_out;
	}
	list_for_each (pos, &agent->runs) {
		const struct run *run = list_entry(pos, struct run, node);
		const struct partition_owner *owner =
			&agent->owners[run->partition];

		totals->running += run->state == TASK_RUNNING;
		totals->ended += run->state != TASK_RUNNING;
		totals->unacked += owner->sent_seq > owner->acked_seq;
	}
	if (agent->config_version < totals->min_version)
		totals->min_version = agent->config_version;
	if (agent->config_version > totals->max_version)
		totals->max_version = agent->config_version;
}

static void print_stats(void *arg)
{
	struct fleet *fleet = arg;
	struct totals totals = { fleet->closed_stats.bytes_in,
				 fleet->closed_stats.bytes_out,
				 fleet->closed_stats.refused_out,
				 .min_version = UINT64_MAX };
	int64_t received = 0, sent = 0;
	int i;

	for (i = 0; i < fleet->agent_count; i++)
		add_agent_totals(fleet->agents[i], &totals);
	for (i = 0; i < MSG_TYPE_COUNT; i++) {
		received += fleet->received[i];
		sent += fleet->sent[i];
	}
	printf("{\"ms\": %" PRId64 ", \"messages_in\": %" PRId64
	       ", \"messages_out\": %" PRId64 ", \"bytes_in\": %" PRId64
	       ", \"bytes_out\": %" PRId64 ", \"refused\": %" PRId64
	       ", \"announces\": %" PRId64 ", \"acks\": %" PRId64
	       ", \"configs\": %" PRId64 ", \"reports\": %" PRId64
	       ", \"report_acks\": %" PRId64 ", \"owners\": %" PRId64
	       ", \"starts\": %" PRId64 ", \"ends\": %" PRId64
	       ", \"stops\": %" PRId64 ", \"running\": %" PRId64
	       ", \"unrecorded\": %" PRId64 ", \"unanswered\": %" PRId64
	       ", \"least_version\": %" PRIu64 ", \"most_version\": %" PRIu64
	       "}\n",
	       sysclock_now().ms, received, sent, totals.bytes_in,
	       totals.bytes_out, totals.refused, fleet->sent[MSG_ANNOUNCE],
	       fleet->received[MSG_ANNOUNCE_ACK], fleet->received[MSG_CONFIG],
	       fleet->sent[MSG_TASK_REPORT],
	       fleet->received[MSG_TASK_REPORT_ACK], fleet->received[MSG_OWNER],
	       fleet->start_count, fleet->end_count, fleet->stop_count,
	       totals.running, totals.ended, totals.unacked, totals.min_version,
	       totals.max_version);
	fflush(stdout);
	loop_timer_start(fleet->stats_timer, STATS_INTERVAL_MS);
}

static void on_terminate(void *arg)
{
	loop_break(((struct fleet *)arg)->loop);
}

static int parse_args(struct fleet *fleet, int argc, char **argv)
{
	if (argc < 4)
		return -1;
	fleet->agent_count = atoi(argv[1]);
	fleet->task_ms = atoi(argv[2]);
	fleet->entry_count = argc - 3;
	fleet->addresses = argv + 3;
	return fleet->agent_count < 1 || fleet->agent_count > AGENTS_MAX ||
	       fleet->task_ms < 0 || fleet->entry_count > FLEET_ENTRIES_MAX ||
	       fleet->agent_count * fleet->entry_count > CONNECTIONS_MAX;
}

int main(int argc, char **argv)
{
	static struct fleet fleet;
	int i;

	if (parse_args(&fleet, argc, argv)) {
		fprintf(stderr,
			"usage: %s AGENTS TASK_MS ENTRY...\n"
			"AGENTS times the number of entries is at most %d\n",
			argv[0], CONNECTIONS_MAX);
		return 2;
	}
	fleet.loop = loop_new();
	rng_seed(&fleet.rng, 1);
	for (i = 0; i < fleet.agent_count; i++)
		agent_new(&fleet, i);
	fleet.stats_timer = loop_timer_new(fleet.loop, print_stats, &fleet);
	loop_timer_start(fleet.stats_timer, 0);
	loop_on_signal(fleet.loop, SIGTERM, on_terminate, &fleet);
	loop_on_signal(fleet.loop, SIGINT, on_terminate, &fleet);
	loop_on_signal(fleet.loop, SIGUSR1, restart_agents, &fleet);
	loop_run(fleet.loop);
	loop_timer_delete(fleet.stats_timer);
	for (i = 0; i < fleet.agent_count; i++)
		agent_delete(fleet.agents[i]);
	loop_delete(fleet.loop);
	return 0;
}
