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
 *	bench_fleet - many agents towards entries, in one process
 *
 * NOTES
 *	Sends the announcements and task reports of AGENTS agents with the
 *	product's codec and transport, at the intervals of the agent daemon,
 *	and answers task commands from a table of runs. Each run ends after
 *	TASK_MS, or with 0 only by a stop. USR1 restarts all agents at once:
 *	new incarnations, new connections, no runs. TERM ends the process.
 *	Writes a JSON object each TICK_MS with counters since the start.
 */
#define AGENTS_MAX 1024
#define ENTRIES_USED_MAX 16
#define LINKS_MAX 1000 /* sockets of one ZeroMQ context are bounded at 1023 */
#define ANNOUNCE_MS 1000
#define REPORT_MS 1000
#define TICK_MS 250
#define REPORT_ROWS 128
#define PARTITIONS_MAX 64
#define CPU_MILLI 64000
#define MEM_MB 250000

struct agent;

struct link {
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
	uint64_t listed_seq; /* first report that showed the end */
};

struct partition_owner {
	struct link *link;
	uint64_t epoch;
	uint64_t sent_seq, acked_seq;
};

struct agent {
	struct fleet *fleet;
	char name[NAME_SIZE];
	char domain[NAME_SIZE], rack[NAME_SIZE];
	uint64_t incarnation, seq, report_seq, config_version;
	struct link links[ENTRIES_USED_MAX];
	struct list runs;
	struct partition_owner owners[PARTITIONS_MAX];
	struct loop_timer *announce_timer, *report_timer;
};

struct fleet {
	struct loop *loop;
	struct loop_timer *tick;
	struct rng rng;
	int agents, entries, task_ms;
	char **addresses;
	struct agent *table[AGENTS_MAX];
	struct transport_stats closed; /* of transports that were replaced */
	int64_t in[MSG_TYPE_COUNT], out[MSG_TYPE_COUNT];
	int64_t starts, ends, stops;
};

static void send_message(struct link *link, const struct message *msg)
{
	if (!transport_send(link->transport, NULL, msg))
		link->agent->fleet->out[msg->type]++;
}

static int64_t announce_delay(struct fleet *fleet)
{
	uint32_t spread = ANNOUNCE_MS * 2 / 5;

	return ANNOUNCE_MS - spread / 2 + rng_below(&fleet->rng, spread + 1);
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

static void announce(void *arg)
{
	struct agent *agent = arg;
	struct fleet *fleet = agent->fleet;
	struct message msg = { .type = MSG_ANNOUNCE };
	struct msg_announce *a = &msg.u.announce;
	int i;

	str_copy(a->agent, agent->name, sizeof(a->agent));
	str_copy(a->service, "stock", sizeof(a->service));
	str_copy(a->region, "a", sizeof(a->region));
	str_copy(a->domain, agent->domain, sizeof(a->domain));
	str_copy(a->rack, agent->rack, sizeof(a->rack));
	a->incarnation = agent->incarnation;
	a->seq = ++agent->seq;
	a->slots = 8;
	a->connections = 64;
	a->capacity = (struct resources){ CPU_MILLI, MEM_MB, 1 };
	a->state = AGENT_READY;
	a->config_version = agent->config_version;
	fill_load(agent, &a->load);
	for (i = 0; i < fleet->entries; i++) {
		a->directory_hash = agent->links[i].directory_hash;
		send_message(&agent->links[i], &msg);
	}
	loop_timer_start(agent->announce_timer, announce_delay(fleet));
}

static void fill_row(struct run *run, uint64_t seq, struct task_status *row)
{
	memset(row, 0, sizeof(*row));
	str_copy(row->job, run->job, sizeof(row->job));
	row->run = run->number;
	row->state = run->state;
	row->used = run->reserved;
	row->checkpoint = run->state == TASK_RUNNING ? "" : "step-000150";
	row->detail = "";
	if (run->state != TASK_RUNNING && !run->listed_seq)
		run->listed_seq = seq;
}

static void report_partition(struct agent *agent, uint32_t partition)
{
	struct partition_owner *owner = &agent->owners[partition];
	struct task_status rows[REPORT_ROWS];
	struct message msg = { .type = MSG_TASK_REPORT };
	struct msg_task_report *report = &msg.u.task_report;
	struct list *pos;

	report->seq = ++agent->report_seq;
	report->partition = partition;
	report->epoch = owner->epoch;
	str_copy(report->agent, agent->name, sizeof(report->agent));
	report->tasks.items = rows;
	list_for_each (pos, &agent->runs) {
		struct run *run = list_entry(pos, struct run, node);

		if (run->partition == partition &&
		    report->tasks.count < REPORT_ROWS)
			fill_row(run, report->seq,
				 &rows[report->tasks.count++]);
	}
	if (!report->tasks.count)
		return;
	owner->sent_seq = report->seq;
	send_message(owner->link, &msg);
}

static void end_runs(struct agent *agent, struct mstime now)
{
	struct list *pos;

	list_for_each (pos, &agent->runs) {
		struct run *run = list_entry(pos, struct run, node);

		if (run->state != TASK_RUNNING || !run->ends_at.ms ||
		    mstime_before(now, run->ends_at))
			continue;
		run->state = TASK_FINISHED;
		agent->fleet->ends++;
	}
}

static void report(void *arg)
{
	struct agent *agent = arg;
	uint32_t i;

	end_runs(agent, sysclock_now());
	for (i = 0; i < PARTITIONS_MAX && !list_empty(&agent->runs); i++)
		if (agent->owners[i].link)
			report_partition(agent, i);
	loop_timer_start(agent->report_timer, REPORT_MS);
}

static void set_owner(struct link *link, uint32_t partition, uint64_t epoch)
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

static void on_start(struct link *link, const struct msg_task_start *msg)
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
	run->listed_seq = 0;
	run->ends_at.ms = 0;
	if (agent->fleet->task_ms)
		run->ends_at =
			mstime_add(sysclock_now(), agent->fleet->task_ms);
	agent->fleet->starts++;
	loop_timer_start(agent->report_timer, 0);
}

static void on_stop_task(struct link *link, const struct msg_task_stop *msg)
{
	struct run *run = find_run(link->agent, msg->job);

	if (!run || run->number != msg->run || run->state != TASK_RUNNING)
		return;
	run->state = TASK_STOPPED;
	link->agent->fleet->stops++;
	loop_timer_start(link->agent->report_timer, 0);
}

static void on_report_ack(struct link *link,
			  const struct msg_task_report_ack *ack)
{
	struct agent *agent = link->agent;
	struct list *pos, *tmp;

	agent->owners[ack->partition].acked_seq = ack->seq;
	if (!ack->ends_recorded)
		return;
	list_for_each_safe (pos, tmp, &agent->runs) {
		struct run *run = list_entry(pos, struct run, node);

		if (run->partition != ack->partition || !run->listed_seq ||
		    run->listed_seq > ack->seq)
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
	struct link *link = arg;
	struct agent *agent = link->agent;

	agent->fleet->in[msg->type]++;
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
		on_start(link, &msg->u.task_start);
		break;
	case MSG_TASK_STOP:
		on_stop_task(link, &msg->u.task_stop);
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

static void connect_all(struct agent *agent)
{
	char id[2 * ID_SIZE];
	int i;

	snprintf(id, sizeof(id), "%s/%" PRIu64, agent->name,
		 agent->incarnation);
	for (i = 0; i < agent->fleet->entries; i++) {
		struct link *link = &agent->links[i];

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

static void drop_runs(struct agent *agent)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &agent->runs) {
		list_del(pos);
		free(list_entry(pos, struct run, node));
	}
}

static void disconnect(struct agent *agent)
{
	struct transport_stats *sum = &agent->fleet->closed;
	int i;

	for (i = 0; i < agent->fleet->entries; i++) {
		const struct transport_stats *stats =
			transport_stats(agent->links[i].transport);

		sum->bytes_in += stats->bytes_in;
		sum->bytes_out += stats->bytes_out;
		sum->refused_out += stats->refused_out;
		transport_delete(agent->links[i].transport);
	}
}

static void agent_new(struct fleet *fleet, int number)
{
	struct agent *agent = xcalloc(1, sizeof(*agent));

	fleet->table[number] = agent;
	agent->fleet = fleet;
	snprintf(agent->name, sizeof(agent->name), "vm-%05d", number);
	snprintf(agent->domain, sizeof(agent->domain), "a%d", number % 9 + 1);
	snprintf(agent->rack, sizeof(agent->rack), "r%d", number / 3);
	agent->incarnation = (uint64_t)sysclock_wall_ms();
	list_init(&agent->runs);
	agent->announce_timer = loop_timer_new(fleet->loop, announce, agent);
	agent->report_timer = loop_timer_new(fleet->loop, report, agent);
	connect_all(agent);
	loop_timer_start(agent->report_timer, number * REPORT_MS / 1000);
}

static void agent_delete(struct agent *agent)
{
	disconnect(agent);
	drop_runs(agent);
	loop_timer_delete(agent->announce_timer);
	loop_timer_delete(agent->report_timer);
	free(agent);
}

static void on_restart(void *arg)
{
	struct fleet *fleet = arg;
	int i;

	for (i = 0; i < fleet->agents; i++)
		disconnect(fleet->table[i]);
	for (i = 0; i < fleet->agents; i++) {
		struct agent *agent = fleet->table[i];

		drop_runs(agent);
		agent->incarnation++;
		agent->seq = 0;
		memset(agent->owners, 0, sizeof(agent->owners));
		connect_all(agent);
	}
}

struct totals {
	int64_t bytes_in, bytes_out, refused, running, ended, unanswered;
	uint64_t least_version, most_version;
};

static void add_agent(const struct agent *agent, struct totals *totals)
{
	const struct list *pos;
	int i;

	for (i = 0; i < agent->fleet->entries; i++) {
		const struct transport_stats *stats =
			transport_stats(agent->links[i].transport);

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
		totals->unanswered += owner->sent_seq > owner->acked_seq;
	}
	if (agent->config_version < totals->least_version)
		totals->least_version = agent->config_version;
	if (agent->config_version > totals->most_version)
		totals->most_version = agent->config_version;
}

static void on_tick(void *arg)
{
	struct fleet *fleet = arg;
	struct totals t = { fleet->closed.bytes_in, fleet->closed.bytes_out,
			    fleet->closed.refused_out,
			    .least_version = UINT64_MAX };
	int64_t in = 0, out = 0;
	int i;

	for (i = 0; i < fleet->agents; i++)
		add_agent(fleet->table[i], &t);
	for (i = 0; i < MSG_TYPE_COUNT; i++) {
		in += fleet->in[i];
		out += fleet->out[i];
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
	       sysclock_now().ms, in, out, t.bytes_in, t.bytes_out, t.refused,
	       fleet->out[MSG_ANNOUNCE], fleet->in[MSG_ANNOUNCE_ACK],
	       fleet->in[MSG_CONFIG], fleet->out[MSG_TASK_REPORT],
	       fleet->in[MSG_TASK_REPORT_ACK], fleet->in[MSG_OWNER],
	       fleet->starts, fleet->ends, fleet->stops, t.running, t.ended,
	       t.unanswered, t.least_version, t.most_version);
	fflush(stdout);
	loop_timer_start(fleet->tick, TICK_MS);
}

static void on_stop(void *arg)
{
	loop_break(((struct fleet *)arg)->loop);
}

static int parse(struct fleet *fleet, int argc, char **argv)
{
	if (argc < 4)
		return -1;
	fleet->agents = atoi(argv[1]);
	fleet->task_ms = atoi(argv[2]);
	fleet->entries = argc - 3;
	fleet->addresses = argv + 3;
	return fleet->agents < 1 || fleet->agents > AGENTS_MAX ||
	       fleet->task_ms < 0 || fleet->entries > ENTRIES_USED_MAX ||
	       fleet->agents * fleet->entries > LINKS_MAX;
}

int main(int argc, char **argv)
{
	static struct fleet fleet;
	int i;

	if (parse(&fleet, argc, argv)) {
		fprintf(stderr,
			"usage: %s AGENTS TASK_MS ENTRY...\n"
			"at most %d agents times entries\n",
			argv[0], LINKS_MAX);
		return 2;
	}
	fleet.loop = loop_new();
	rng_seed(&fleet.rng, 1);
	for (i = 0; i < fleet.agents; i++)
		agent_new(&fleet, i);
	fleet.tick = loop_timer_new(fleet.loop, on_tick, &fleet);
	loop_timer_start(fleet.tick, 0);
	loop_on_signal(fleet.loop, SIGTERM, on_stop, &fleet);
	loop_on_signal(fleet.loop, SIGINT, on_stop, &fleet);
	loop_on_signal(fleet.loop, SIGUSR1, on_restart, &fleet);
	loop_run(fleet.loop);
	loop_timer_delete(fleet.tick);
	for (i = 0; i < fleet.agents; i++)
		agent_delete(fleet.table[i]);
	loop_delete(fleet.loop);
	return 0;
}
