#ifndef TEST_UNIT_REPLOG_CLUSTER_H
#define TEST_UNIT_REPLOG_CLUSTER_H

extern "C" {
#include "base/rnd.h"
#include "base/timerq.h"
#include "replog/replica.h"
}

#include "faulty_os.h"

#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

struct Cluster;

struct Node {
	Cluster *cluster;
	uint32_t slot;
	std::string folder;
	struct replica *replica = nullptr;
	std::vector<std::string> state;  ///< Applied commands.
	enum status failure = STATUS_OK; ///< Given to the failed callback.
};

struct Message {
	uint32_t from, to;
	std::string bytes;
};

/// A group on real files. Messages are passed in memory, and time advances only
/// in run().
struct Cluster {
	uint64_t now = 1000000;
	struct timerq *timerq;
	struct rnd *rnd = rnd_new(7);
	std::filesystem::path root;
	std::map<uint32_t, std::unique_ptr<Node>> nodes;
	std::deque<Message> queue;
	std::set<uint32_t> isolated; ///< Slots without a network.
	uint64_t snapshot_bytes = 0;
	FaultyOs os_calls; ///< Of the nodes opened without `os`; none fails.
	uint32_t n_voters = 3;
	std::set<uint32_t> started_before; ///< Slots not in their first start.
	struct raft_limits limits = {};
	int chunks = 0; ///< Messages of more than 1000 bytes delivered.

	Cluster()
	{
		char name[] = "/tmp/replog-XXXXXX";
		struct timerq_source source = {
			.now_us =
			    [](void *arg) {
				    return static_cast<Cluster *>(arg)->now;
			    },
			.wake_at = [](void *, uint64_t) {},
			.arg = this
		};

		root = mkdtemp(name);
		timerq = timerq_new(&source);
	}

	~Cluster()
	{
		for (auto &n : nodes)
			replica_close(n.second->replica);
		timerq_free(timerq);
		rnd_free(rnd);
		std::filesystem::remove_all(root);
	}

	static void send(
	    void *arg, uint32_t to, const uint8_t *bytes, size_t len)
	{
		auto *n = static_cast<Node *>(arg);
		struct replica_status s;

		replica_status(n->replica, &s);
		n->cluster->queue.push_back({ s.self, to,
		    std::string(reinterpret_cast<const char *>(bytes), len) });
	}

	static void apply(void *arg, uint64_t, const uint8_t *cmd, size_t len,
	    uint8_t **result, size_t *result_len)
	{
		auto *n = static_cast<Node *>(arg);

		n->state.emplace_back(reinterpret_cast<const char *>(cmd), len);
		*result = static_cast<uint8_t *>(malloc(1));
		**result = static_cast<uint8_t>(n->state.size());
		*result_len = 1;
	}

	static enum status snapshot_make(
	    void *arg, uint8_t **bytes, size_t *len)
	{
		auto *n = static_cast<Node *>(arg);
		std::string all;

		for (auto &s : n->state)
			all += s + "\n";
		*len = all.size();
		*bytes = static_cast<uint8_t *>(malloc(all.size() + 1));
		memcpy(*bytes, all.data(), all.size());
		return STATUS_OK;
	}

	static enum status snapshot_load(
	    void *arg, const uint8_t *bytes, size_t len)
	{
		auto *n = static_cast<Node *>(arg);
		std::string all(reinterpret_cast<const char *>(bytes), len);

		n->state.clear();
		for (size_t at = 0, end; at < all.size(); at = end + 1) {
			end = all.find('\n', at);
			n->state.push_back(all.substr(at, end - at));
		}
		return STATUS_OK;
	}

	enum status open(uint32_t slot, const struct logstore_os *os = nullptr)
	{
		auto &n = nodes[slot];
		struct replica_config c = {};

		if (!n) {
			n = std::make_unique<Node>();
			n->cluster = this;
			n->slot = slot;
			n->folder = (root / std::to_string(slot)).string();
		}
		n->state.clear();
		n->failure = STATUS_OK;
		c.folder = n->folder.c_str();
		c.group = 1;
		c.self = slot;
		c.deployment = "budapest";
		c.node = "control";
		c.n_voters = n_voters;
		c.group_started = started_before.count(slot) > 0;
		for (uint32_t i = 0; i < n_voters; i++)
			c.voters[i] = i + 1;
		c.election_us = 300000;
		c.heartbeat_us = 50000;
		c.snapshot_bytes = snapshot_bytes;
		c.limits = limits;
		c.timerq = timerq;
		c.rnd = rnd;
		c.os = os == nullptr ? &os_calls.os : os;
		c.auto_replace = true;
		c.arg = n.get();
		c.ops.send = send;
		c.ops.apply = apply;
		c.ops.snapshot_make = snapshot_make;
		c.ops.snapshot_load = snapshot_load;
		c.ops.role_changed = [](void *, enum raft_role, uint32_t,
					 uint64_t) {};
		c.ops.failed = [](void *arg, enum status status) {
			static_cast<Node *>(arg)->failure = status;
		};
		return replica_open(&c, &n->replica);
	}

	void close(uint32_t slot)
	{
		replica_close(nodes[slot]->replica);
		nodes[slot]->replica = nullptr;
	}

	void lose_disk(uint32_t slot)
	{
		std::filesystem::remove_all(nodes[slot]->folder);
	}

	void deliver()
	{
		Message m = queue.front();
		auto it = nodes.find(m.to & RAFT_SLOT_MASK);

		queue.pop_front();
		chunks += m.bytes.size() > 1000;
		if (it == nodes.end() || it->second->replica == nullptr)
			return;
		if (isolated.count(m.from & RAFT_SLOT_MASK) ||
		    isolated.count(m.to & RAFT_SLOT_MASK))
			return;
		replica_receive(it->second->replica, m.from,
		    reinterpret_cast<const uint8_t *>(m.bytes.data()),
		    m.bytes.size());
	}

	/// Runs for a time, or until `condition` holds after a delivery.
	///
	/// @return whether the condition held
	bool run(uint64_t us, bool (*condition)(const Cluster *) = nullptr)
	{
		for (const uint64_t end = now + us; now < end; now += 1000) {
			timerq_run(timerq);
			while (!queue.empty()) {
				deliver();
				if (condition != nullptr && condition(this))
					return true;
			}
		}
		return false;
	}

	struct replica_status status(uint32_t slot)
	{
		struct replica_status s;

		replica_status(nodes[slot]->replica, &s);
		return s;
	}

	/// Slot of a leader that is ready and not isolated, 0 if none.
	uint32_t leader()
	{
		for (auto &n : nodes) {
			if (n.second->replica != nullptr &&
			    !isolated.count(n.first) &&
			    replica_is_ready(n.second->replica))
				return n.first;
		}
		return 0;
	}

	struct Outcome {
		int n_calls = 0;
		enum status status = STATUS_INTERNAL;
		std::string result;
	};

	static void done(
	    void *arg, enum status status, const uint8_t *result, size_t len)
	{
		auto *d = static_cast<Outcome *>(arg);

		d->n_calls++;
		d->status = status;
		d->result.assign(reinterpret_cast<const char *>(result), len);
	}

	Outcome propose(
	    uint32_t slot, const std::string &cmd, uint64_t us = 20000)
	{
		static std::deque<Outcome> outcomes;
		Outcome &d = outcomes.emplace_back();

		replica_propose(nodes[slot]->replica,
		    reinterpret_cast<const uint8_t *>(cmd.data()), cmd.size(),
		    done, &d);
		run(us);
		return d;
	}

	Outcome change(uint32_t slot, uint32_t id, bool voter, bool remove)
	{
		static std::deque<Outcome> outcomes;
		Outcome &d = outcomes.emplace_back();

		replica_change_member(
		    nodes[slot]->replica, id, voter, remove, done, &d);
		run(100000);
		return d;
	}
};

#endif
