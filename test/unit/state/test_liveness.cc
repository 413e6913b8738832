#include <gtest/gtest.h>

extern "C" {
#include "state/liveness.h"
}

#include <cstdlib>
#include <cstring>
#include <string>

namespace
{

class Liveness : public ::testing::Test
{
      protected:
	struct catalog *s = catalog_new();
	struct liveness *l = liveness_new();
	std::string proposed;

	Liveness()
	{
		note(R"({"note": "a", "base": 0,
		    "data_centres": {"add": [{"name": "d", "region": "r"}]},
		    "pools": {"add": [{"name": "p", "kind": "runner"}]},
		    "backend_servers": {"add": [{"name": "s", "pool": "p",
		      "data_centre": "d", "address": "127.0.0.1:1"}]}})");
	}

	~Liveness() override
	{
		liveness_free(l);
		catalog_free(s);
	}

	void apply(const struct catalog_command &c)
	{
		struct catalog_result r;
		uint8_t *bytes;
		size_t len;

		catalog_encode(&c, &bytes, &len);
		catalog_apply(s, bytes, len, &r);
		EXPECT_EQ(r.status, CATALOG_ACCEPTED) << r.message;
		catalog_result_clear(&r);
		free(bytes);
	}

	void note(const std::string &text)
	{
		struct catalog_command c = {};

		c.kind = CATALOG_CMD_NOTE;
		c.note.text = text.data();
		c.note.len = text.size();
		apply(c);
	}

	/// Gives a list with the server in this state to liveness_update() and
	/// applies the commands that it proposes.
	///
	/// @return the commands, as "leaving" or "returned"
	std::string update(enum liveness_state state)
	{
		const struct liveness_item item = { "s", state };

		proposed.clear();
		liveness_update(
		    l, s, &item, state == LIVENESS_ABSENT ? 0 : 1,
		    [](void *arg, const struct catalog_command *c) {
			    Liveness *self = (Liveness *)arg;

			    self->proposed += c->kind == CATALOG_CMD_DRAINING
				? "leaving"
				: "returned";
			    self->apply(*c);
		    },
		    this);
		return proposed;
	}

	void mark_draining()
	{
		struct catalog_command c = {};

		c.kind = CATALOG_CMD_DRAINING;
		strcpy(c.draining.name, "s");
		c.draining.incarnation = catalog_server(s, "s")->incarnation;
		apply(c);
	}
};

} // namespace

// The list lags: it may still show a draining server as live, which must not
// count as its return.
TEST_F(Liveness, StaleLiveDoesNotReturnADrainingServer)
{
	EXPECT_EQ(update(LIVENESS_ABSENT), "");
	mark_draining();
	EXPECT_EQ(update(LIVENESS_ABSENT), "");
	EXPECT_EQ(update(LIVENESS_LIVE), "");
	EXPECT_EQ(update(LIVENESS_DRAINING), "");
	EXPECT_EQ(update(LIVENESS_LIVE), "");
	EXPECT_TRUE(catalog_server(s, "s")->draining);
	EXPECT_EQ(update(LIVENESS_ABSENT), "");
	EXPECT_EQ(update(LIVENESS_LIVE), "returned");
	EXPECT_FALSE(catalog_server(s, "s")->draining);
	EXPECT_EQ(update(LIVENESS_LIVE), "");
	EXPECT_EQ(update(LIVENESS_DRAINING), "leaving");
}

// The list may still show the earlier server of a name as draining, which
// must not mark the one that was added since.
TEST_F(Liveness, StaleDrainingDoesNotMarkANewServer)
{
	EXPECT_EQ(update(LIVENESS_DRAINING), "leaving");
	note(R"({"note": "b", "base": 1,
	    "backend_servers": {"withdraw": ["s"]}})");
	note(R"({"note": "c", "base": 2,
	    "backend_servers": {"add": [{"name": "s", "pool": "p",
	      "data_centre": "d", "address": "127.0.0.1:1"}]}})");
	EXPECT_EQ(update(LIVENESS_DRAINING), "");
	EXPECT_EQ(update(LIVENESS_ABSENT), "");
	EXPECT_EQ(update(LIVENESS_DRAINING), "leaving");
}
