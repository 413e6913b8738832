#include <gtest/gtest.h>

#include "faulty_os.h"

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
	struct logstore_identity wanted = {};
	struct logstore *log = nullptr;
	struct logstore_loaded loaded = {};

	void SetUp() override
	{
		char name[] = "/tmp/replog-XXXXXX";

		root = mkdtemp(name);
		strcpy(wanted.deployment, "budapest");
		strcpy(wanted.node, "control-csepel");
		wanted.id = 1;
		wanted.incarnation = 99;
	}

	void TearDown() override
	{
		close();
		std::filesystem::remove_all(root);
	}

	enum status open(const struct logstore_os *os = nullptr)
	{
		return logstore_open(
		    root.c_str(), 1, &wanted, os, &log, &loaded);
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
		enum status status = STATUS_OK;

		for (uint64_t i = from; status == STATUS_OK && i <= to; i++)
			status = append(i, term);
		return status == STATUS_OK ? logstore_sync(log) : status;
	}

	std::filesystem::path segment_path()
	{
		for (auto &e :
		    std::filesystem::directory_iterator(root / "group-1")) {
			if (e.path().filename().string().rfind("log-", 0) == 0)
				return e.path();
		}
		return {};
	}

	void flip_bit(const std::filesystem::path &p, long at)
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

/// A crash during a write leaves any part of it at the end of the log. The log
/// must open without the incomplete record and keep the synced ones.
TEST_F(DiskLog, TornTailIsTruncatedAtEveryLength)
{
	ASSERT_EQ(open(), STATUS_OK);
	ASSERT_EQ(write(1, 2, 1), STATUS_OK);
	const auto two = std::filesystem::file_size(segment_path());
	ASSERT_EQ(append(3, 1), STATUS_OK);
	ASSERT_EQ(append(4, 1), STATUS_OK);
	ASSERT_EQ(logstore_sync(log), STATUS_OK);
	close();
	for (auto n = std::filesystem::file_size(segment_path()); --n > two;) {
		std::filesystem::resize_file(segment_path(), n);
		ASSERT_EQ(open(), STATUS_OK) << status_last();
		EXPECT_GE(loaded.n_entries, 2U);
		n = std::filesystem::file_size(segment_path());
		close();
	}
}

/// A damaged record that a later one shows to have been synced must not be
/// taken for an incomplete write, which would drop acknowledged entries.
TEST_F(DiskLog, DamageOfSyncedBytesIsRefused)
{
	ASSERT_EQ(open(), STATUS_OK);
	for (uint64_t i = 1; i <= 3; i++)
		ASSERT_EQ(write(i, i, 1), STATUS_OK);
	close();
	for (const char *name : { "identity", "log" }) {
		const auto p =
		    name[0] == 'l' ? segment_path() : root / "group-1" / name;

		flip_bit(p, 60);
		EXPECT_EQ(open(), STATUS_CORRUPT);
		EXPECT_NE(strstr(status_last(), "damaged"), nullptr)
		    << status_last();
		flip_bit(p, 60);
	}
	ASSERT_EQ(open(), STATUS_OK);
	EXPECT_EQ(loaded.n_entries, 3U);
}

/// A process that uses the folder of another member, node or deployment, or one
/// in use, would act with the votes and log of that member.
TEST_F(DiskLog, FolderOfAnotherProcessIsRefused)
{
	ASSERT_EQ(open(), STATUS_OK);
	struct logstore *second;
	struct logstore_loaded again;
	EXPECT_EQ(
	    logstore_open(root.c_str(), 1, &wanted, nullptr, &second, &again),
	    STATUS_CONFLICT);
	close();
	wanted.id = 2;
	EXPECT_EQ(open(), STATUS_REFUSED);
	wanted.id = 1;
	strcpy(wanted.node, "other");
	EXPECT_EQ(open(), STATUS_REFUSED);
	EXPECT_NE(strstr(status_last(), "control-csepel"), nullptr);
	strcpy(wanted.node, "control-csepel");
	strcpy(wanted.deployment, "adriatic");
	EXPECT_EQ(open(), STATUS_REFUSED);
	strcpy(wanted.deployment, "budapest");
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

/// Flips one bit in every byte of each file. The log must be refused or, if the
/// last record is hit, open without it.
TEST_F(DiskLog, ACorruptedByteIsNeverAccepted)
{
	const struct raft_members m = { 1, 1, 0, { 1 }, {} };
	const uint8_t state[] = "state";

	ASSERT_EQ(open(), STATUS_OK);
	ASSERT_EQ(write(1, 2, 1), STATUS_OK);
	ASSERT_EQ(logstore_save_snapshot(log, 2, 1, &m, state, 5), STATUS_OK);
	ASSERT_EQ(write(3, 4, 1), STATUS_OK);
	ASSERT_EQ(write(5, 5, 1), STATUS_OK);
	close();
	const auto file = segment_path();
	const auto full_size = std::filesystem::file_size(file);
	std::filesystem::copy_file(file, root / "copy");
	for (const auto &path : { root / "group-1" / "identity",
		 root / "group-1" / "snapshot", file }) {
		const auto size =
		    static_cast<long>(std::filesystem::file_size(path));

		for (long at = 0; at < size; at++) {
			flip_bit(path, at);
			const enum status status = open();
			if (path != file)
				ASSERT_EQ(status, STATUS_CORRUPT) << path << at;
			else if (status == STATUS_OK)
				ASSERT_EQ(loaded.n_entries, 2U) << at;
			else
				ASSERT_EQ(status, STATUS_CORRUPT) << at;
			close();
			if (std::filesystem::file_size(file) != full_size)
				std::filesystem::copy_file(root / "copy", file,
				    std::filesystem::copy_options::
					overwrite_existing);
			else
				flip_bit(path, at);
		}
	}
	ASSERT_EQ(open(), STATUS_OK);
	EXPECT_EQ(loaded.n_entries, 3U);
}

/// Writes entries, hard states and snapshots. After the first failure the log
/// must refuse everything.
///
/// @param acknowledged  receives the index of the last entry that was synced
/// @param first         receives the first failure
static void
write_entries(struct logstore *log, uint64_t *acknowledged, enum status *first)
{
	const struct raft_members m = { 1, 1, 0, { 1 }, {} };
	uint8_t data[] = "entry";

	for (uint64_t i = 1; i <= 12; i++) {
		const struct raft_hard_state hard_state = { i, 1 };
		const struct raft_entry e = { i, i, RAFT_COMMAND, 5, data };
		enum status status = logstore_append(log, &e);

		if (status == STATUS_OK && i % 3 == 0)
			status = logstore_write_hard_state(log, &hard_state);
		if (status == STATUS_OK)
			status = logstore_sync(log);
		if (status == STATUS_OK)
			*acknowledged = i;
		if (status == STATUS_OK && i % 5 == 0)
			status = logstore_save_snapshot(
			    log, i - 1, i - 1, &m, data, 5);
		if (status != STATUS_OK && *first == STATUS_OK)
			*first = status;
		if (*first != STATUS_OK) {
			ASSERT_NE(logstore_append(log, &e), STATUS_OK);
			ASSERT_NE(logstore_sync(log), STATUS_OK);
			ASSERT_NE(logstore_write_hard_state(log, &hard_state),
			    STATUS_OK);
		}
	}
}

/// Fails each call in turn, one per run. After any single failure the entries
/// and terms that were synced must be found when the log is opened again.
static void
fail_each_call(bool short_write, int code)
{
	for (int n = 0;; n++) {
		char name[] = "/tmp/replog-XXXXXX";
		const std::filesystem::path root = mkdtemp(name);
		struct logstore_identity wanted = {};
		struct logstore_loaded loaded;
		struct logstore *log = nullptr;
		FaultyOs f;
		uint64_t acknowledged = 0;
		enum status first = STATUS_OK;

		wanted.id = 1;
		f.calls_left = n;
		f.short_write = short_write;
		f.error_number = code;
		first = logstore_open(
		    root.c_str(), 1, &wanted, &f.os, &log, &loaded);
		if (first == STATUS_OK) {
			logstore_loaded_free(&loaded);
			write_entries(log, &acknowledged, &first);
			logstore_close(log);
		}
		ASSERT_EQ(first != STATUS_OK, f.failed) << n;
		if (f.failed) {
			ASSERT_TRUE(first == STATUS_IO || first == STATUS_FULL)
			    << n;
			ASSERT_EQ(first == STATUS_FULL, code == ENOSPC) << n;
		}
		ASSERT_EQ(logstore_open(
			      root.c_str(), 1, &wanted, nullptr, &log, &loaded),
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

TEST(DiskLogFailures, EachCallFails)
{
	fail_each_call(false, EIO);
	fail_each_call(false, ENOSPC);
}

TEST(DiskLogFailures, EachWriteIsShort)
{
	fail_each_call(true, ENOSPC);
}

/// Truncated and randomly changed messages must be rejected or decoded, without
/// a read past the end.
TEST(Codec, MalformedBytesOnlyGiveAnError)
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
