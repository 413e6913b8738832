#include <gtest/gtest.h>

#include "failing.h"

extern "C" {
#include "replog/logstore.h"
#include "replog/raft_codec.h"
}

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

class DiskLog : public testing::Test
{
      protected:
	std::filesystem::path root;
	struct logstore_identity want = {};
	struct logstore *log = nullptr;
	struct logstore_loaded loaded = {};

	void SetUp() override
	{
		char name[] = "/tmp/replog-XXXXXX";

		root = mkdtemp(name);
		strcpy(want.deployment, "budapest");
		strcpy(want.node, "control-csepel");
		want.id = 1;
		want.incarnation = 99;
	}

	void TearDown() override
	{
		close();
		std::filesystem::remove_all(root);
	}

	enum status open(const struct logstore_os *os = nullptr)
	{
		return logstore_open(root.c_str(), 1, &want, os, &log, &loaded);
	}

	void close()
	{
		logstore_loaded_free(&loaded);
		logstore_close(log);
		log = nullptr;
	}

	enum status append(
	    uint64_t index, uint64_t term, std::string data = "entry")
	{
		const struct raft_entry e = { index, term, RAFT_COMMAND,
			static_cast<uint32_t>(data.size()),
			reinterpret_cast<uint8_t *>(data.data()) };

		return logstore_append(log, &e);
	}

	enum status write(uint64_t from, uint64_t to, uint64_t term)
	{
		enum status st = STATUS_OK;

		for (uint64_t i = from; st == STATUS_OK && i <= to; i++)
			st = append(i, term);
		return st == STATUS_OK ? logstore_sync(log) : st;
	}

	std::filesystem::path segment()
	{
		for (auto &e :
		    std::filesystem::directory_iterator(root / "group-1")) {
			if (e.path().filename().string().rfind("log-", 0) == 0)
				return e.path();
		}
		return {};
	}

	void flip(const std::filesystem::path &p, long at)
	{
		std::fstream f(
		    p, std::ios::in | std::ios::out | std::ios::binary);
		char c;

		f.seekg(at);
		f.get(c);
		f.seekp(at);
		f.put(static_cast<char>(c ^ 1));
	}
};

TEST_F(DiskLog, ConflictingSuffixIsReplaced)
{
	const struct raft_hard_state hard_state = { 7, 3 };

	ASSERT_EQ(open(), STATUS_OK);
	EXPECT_TRUE(loaded.fresh);
	ASSERT_EQ(write(1, 5, 1), STATUS_OK);
	ASSERT_EQ(logstore_write_hard_state(log, &hard_state), STATUS_OK);
	ASSERT_EQ(write(3, 4, 2), STATUS_OK);
	close();
	ASSERT_EQ(open(), STATUS_OK);
	EXPECT_FALSE(loaded.fresh);
	EXPECT_EQ(loaded.identity.incarnation, 99U);
	EXPECT_EQ(loaded.hard_state.term, 7U);
	EXPECT_EQ(loaded.hard_state.voted_for, 3U);
	ASSERT_EQ(loaded.n_entries, 4U);
	EXPECT_EQ(loaded.entries[1].term, 1U);
	EXPECT_EQ(loaded.entries[2].term, 2U);
}

TEST_F(DiskLog, TornTailIsCutAtEveryLength)
{
	ASSERT_EQ(open(), STATUS_OK);
	ASSERT_EQ(write(1, 2, 1), STATUS_OK);
	const auto two = std::filesystem::file_size(segment());
	ASSERT_EQ(append(3, 1), STATUS_OK);
	ASSERT_EQ(append(4, 1), STATUS_OK);
	ASSERT_EQ(logstore_sync(log), STATUS_OK);
	close();
	for (auto n = std::filesystem::file_size(segment()); --n > two;) {
		std::filesystem::resize_file(segment(), n);
		ASSERT_EQ(open(), STATUS_OK) << status_last();
		EXPECT_GE(loaded.n_entries, 2U);
		n = std::filesystem::file_size(segment());
		close();
	}
}

TEST_F(DiskLog, DamageOfSyncedBytesIsRefused)
{
	ASSERT_EQ(open(), STATUS_OK);
	for (uint64_t i = 1; i <= 3; i++)
		ASSERT_EQ(write(i, i, 1), STATUS_OK);
	close();
	for (const char *name : { "identity", "log" }) {
		const auto p =
		    name[0] == 'l' ? segment() : root / "group-1" / name;

		flip(p, 60);
		EXPECT_EQ(open(), STATUS_CORRUPT);
		EXPECT_NE(strstr(status_last(), "damaged"), nullptr)
		    << status_last();
		flip(p, 60);
	}
	ASSERT_EQ(open(), STATUS_OK);
	EXPECT_EQ(loaded.n_entries, 3U);
}

TEST_F(DiskLog, AnotherFolderIsRefused)
{
	ASSERT_EQ(open(), STATUS_OK);
	struct logstore *second;
	struct logstore_loaded again;
	EXPECT_EQ(
	    logstore_open(root.c_str(), 1, &want, nullptr, &second, &again),
	    STATUS_CONFLICT);
	close();
	want.id = 2;
	EXPECT_EQ(open(), STATUS_REFUSED);
	want.id = 1;
	strcpy(want.node, "other");
	EXPECT_EQ(open(), STATUS_REFUSED);
	EXPECT_NE(strstr(status_last(), "control-csepel"), nullptr);
	strcpy(want.node, "control-csepel");
	strcpy(want.deployment, "adriatic");
	EXPECT_EQ(open(), STATUS_REFUSED);
	strcpy(want.deployment, "budapest");
	std::filesystem::remove(root / "group-1" / "identity");
	std::ofstream(root / "group-1" / "hard") << "x";
	EXPECT_EQ(open(), STATUS_CORRUPT);
}

TEST_F(DiskLog, SnapshotReplacesWhatItCovers)
{
	const struct raft_members m = { 1, 1, 0, { 1 }, {} };
	const uint8_t state[] = "state";

	ASSERT_EQ(open(), STATUS_OK);
	for (uint64_t i = 1; i <= 40; i++)
		ASSERT_EQ(append(i, 1, std::string(100000, 'x')), STATUS_OK);
	ASSERT_EQ(logstore_sync(log), STATUS_OK);
	const uint64_t before = logstore_bytes(log);
	ASSERT_EQ(logstore_save_snapshot(log, 30, 1, &m, state, 5), STATUS_OK);
	EXPECT_LT(logstore_bytes(log), before / 2);
	close();
	ASSERT_EQ(open(), STATUS_OK);
	EXPECT_EQ(loaded.snapshot_index, 30U);
	ASSERT_EQ(loaded.n_entries, 10U);
	EXPECT_EQ(loaded.entries[0].index, 31U);
	ASSERT_EQ(logstore_save_snapshot(log, 35, 2, &m, state, 5), STATUS_OK);
	ASSERT_EQ(write(36, 36, 2), STATUS_OK);
	close();
	ASSERT_EQ(open(), STATUS_OK);
	ASSERT_EQ(loaded.n_entries, 1U);
	EXPECT_EQ(loaded.entries[0].term, 2U);
}

TEST_F(DiskLog, AChangedByteIsNeverTakenForContent)
{
	const struct raft_members m = { 1, 1, 0, { 1 }, {} };
	const uint8_t state[] = "state";

	ASSERT_EQ(open(), STATUS_OK);
	ASSERT_EQ(write(1, 2, 1), STATUS_OK);
	ASSERT_EQ(logstore_save_snapshot(log, 2, 1, &m, state, 5), STATUS_OK);
	ASSERT_EQ(write(3, 4, 1), STATUS_OK);
	ASSERT_EQ(write(5, 5, 1), STATUS_OK);
	close();
	const auto file = segment();
	const auto whole = std::filesystem::file_size(file);
	std::filesystem::copy_file(file, root / "copy");
	for (const auto &path : { root / "group-1" / "identity",
		 root / "group-1" / "snapshot", file }) {
		const auto size =
		    static_cast<long>(std::filesystem::file_size(path));

		for (long at = 0; at < size; at++) {
			flip(path, at);
			const enum status st = open();
			if (path != file)
				ASSERT_EQ(st, STATUS_CORRUPT) << path << at;
			else if (st == STATUS_OK)
				ASSERT_EQ(loaded.n_entries, 2U) << at;
			else
				ASSERT_EQ(st, STATUS_CORRUPT) << at;
			close();
			if (std::filesystem::file_size(file) != whole)
				std::filesystem::copy_file(root / "copy", file,
				    std::filesystem::copy_options::
					overwrite_existing);
			else
				flip(path, at);
		}
	}
	ASSERT_EQ(open(), STATUS_OK);
	EXPECT_EQ(loaded.n_entries, 3U);
}

/// What was acknowledged must be there after any single failure, and the
/// log must refuse everything after it.
static void
work(struct logstore *log, uint64_t *acknowledged, enum status *first)
{
	const struct raft_members m = { 1, 1, 0, { 1 }, {} };
	uint8_t data[] = "entry";

	for (uint64_t i = 1; i <= 12; i++) {
		const struct raft_hard_state hard_state = { i, 1 };
		const struct raft_entry e = { i, i, RAFT_COMMAND, 5, data };
		enum status st = logstore_append(log, &e);

		if (st == STATUS_OK && i % 3 == 0)
			st = logstore_write_hard_state(log, &hard_state);
		if (st == STATUS_OK)
			st = logstore_sync(log);
		if (st == STATUS_OK)
			*acknowledged = i;
		if (st == STATUS_OK && i % 5 == 0)
			st = logstore_save_snapshot(
			    log, i - 1, i - 1, &m, data, 5);
		if (st != STATUS_OK && *first == STATUS_OK)
			*first = st;
		if (*first != STATUS_OK) {
			ASSERT_NE(logstore_append(log, &e), STATUS_OK);
			ASSERT_NE(logstore_sync(log), STATUS_OK);
			ASSERT_NE(logstore_write_hard_state(log, &hard_state),
			    STATUS_OK);
		}
	}
}

static void
fail_each_call(bool short_write, int code)
{
	for (int n = 0;; n++) {
		char name[] = "/tmp/replog-XXXXXX";
		const std::filesystem::path root = mkdtemp(name);
		struct logstore_identity want = {};
		struct logstore_loaded loaded;
		struct logstore *log = nullptr;
		Failing f;
		uint64_t acknowledged = 0;
		enum status first = STATUS_OK;

		want.id = 1;
		f.left = n;
		f.short_write = short_write;
		f.code = code;
		first =
		    logstore_open(root.c_str(), 1, &want, &f.os, &log, &loaded);
		if (first == STATUS_OK) {
			logstore_loaded_free(&loaded);
			work(log, &acknowledged, &first);
			logstore_close(log);
		}
		ASSERT_EQ(first != STATUS_OK, f.failed) << n;
		if (f.failed) {
			ASSERT_TRUE(first == STATUS_IO || first == STATUS_FULL)
			    << n;
			ASSERT_EQ(first == STATUS_FULL, code == ENOSPC) << n;
		}
		ASSERT_EQ(logstore_open(
			      root.c_str(), 1, &want, nullptr, &log, &loaded),
		    STATUS_OK)
		    << n << " " << status_last();
		const uint64_t last = loaded.n_entries > 0
		    ? loaded.entries[loaded.n_entries - 1].index
		    : loaded.snapshot_index;
		ASSERT_GE(last, acknowledged) << n;
		ASSERT_GE(loaded.hard_state.term, acknowledged / 3 * 3) << n;
		logstore_loaded_free(&loaded);
		logstore_close(log);
		std::filesystem::remove_all(root);
		if (!f.failed)
			break;
	}
}

TEST(DiskLogFailures, EachCallInTurn)
{
	fail_each_call(false, EIO);
	fail_each_call(false, ENOSPC);
}

TEST(DiskLogFailures, EachWriteCutShort)
{
	fail_each_call(true, ENOSPC);
}

TEST(Codec, HostileBytesGiveAnErrorOnly)
{
	struct raft_entry entries[2] = { { 6, 3, RAFT_COMMAND, 3,
					     (uint8_t *)"abc" },
		{ 7, 3, RAFT_EMPTY, 0, nullptr } };
	struct raft_msg m = {};
	size_t len;
	uint64_t state = 1;

	m.kind = RAFT_MSG_APPEND;
	m.from = 1;
	m.to = 2;
	m.term = 3;
	m.index = 5;
	m.entries = entries;
	m.n_entries = 2;
	m.members.n_voters = 1;
	m.members.voters[0] = 9;
	uint8_t *good = raft_msg_encode(&m, &len);
	struct raft_msg back;
	ASSERT_EQ(raft_msg_decode(good, len, &back), STATUS_OK);
	ASSERT_EQ(back.n_entries, 2U);
	EXPECT_EQ(back.entries[1].index, 7U);
	EXPECT_EQ(memcmp(back.entries[0].data, "abc", 3), 0);
	raft_msg_clear(&back);
	for (size_t n = 0; n < len; n++)
		EXPECT_EQ(raft_msg_decode(good, n, &back), STATUS_CORRUPT);
	for (int i = 0; i < 200000; i++) {
		std::vector<uint8_t> bad(good, good + len);

		for (int k = 0; k <= i % 3; k++) {
			state = state * 6364136223846793005U + 1442695040U;
			bad[(state >> 33) % len] = (uint8_t)(state >> 24);
		}
		if (raft_msg_decode(bad.data(), len, &back) == STATUS_OK)
			raft_msg_clear(&back);
	}
	free(good);
}
