#include <gtest/gtest.h>

extern "C" {
#include "wire/wire.h"
}

#include <cstdlib>
#include <cstring>
#include <vector>

namespace
{

struct wire_msg
lease_message()
{
	struct wire_msg m = {};

	m.kind = WIRE_LEASE;
	m.lease = { 2, 7, 41, 3000, 123456 };
	return m;
}

std::vector<uint8_t>
encode_frame(const struct wire_msg &m)
{
	uint8_t *bytes;
	size_t len;

	wire_encode(&m, &bytes, &len);
	std::vector<uint8_t> frame(bytes + 4, bytes + len);
	free(bytes);
	return frame;
}

TEST(Frames, DecodeReturnsTheEncodedMessage)
{
	const std::vector<uint8_t> frame = encode_frame(lease_message());
	struct wire_msg out;

	ASSERT_EQ(wire_decode(frame.data(), frame.size(), &out), STATUS_OK);
	EXPECT_EQ(out.kind, WIRE_LEASE);
	EXPECT_EQ(out.lease.leader, 2U);
	EXPECT_EQ(out.lease.sequence, 41U);
	EXPECT_EQ(out.lease.echo_us, 123456U);
}

/// Guards against a hello that versions before the address refuse: it is left
/// out where the slot implies it.
TEST(Frames, AHelloTellsAnAddressOnlyIfThereIsOne)
{
	struct wire_msg m = {};
	struct wire_msg out;

	m.kind = WIRE_HELLO;
	m.hello.role = WIRE_ROLE_CONTROL;
	m.hello.id = 7;
	strcpy(m.hello.node, "core-7");
	std::vector<uint8_t> frame = encode_frame(m);
	EXPECT_EQ(frame[0], 0x97); // an array of the kind and six fields
	ASSERT_EQ(wire_decode(frame.data(), frame.size(), &out), STATUS_OK);
	EXPECT_STREQ(out.hello.host, "");
	strcpy(m.hello.host, "10.64.0.1");
	frame = encode_frame(m);
	ASSERT_EQ(wire_decode(frame.data(), frame.size(), &out), STATUS_OK);
	EXPECT_STREQ(out.hello.host, "10.64.0.1");
	EXPECT_STREQ(out.hello.node, "core-7");
	EXPECT_FALSE(out.hello.hides_host);
	// Older versions read six fields, and a name up to its zero.
	m.hello.hides_host = true;
	strcpy(m.hello.deployment, "fleet");
	frame = encode_frame(m);
	EXPECT_EQ(frame[0], 0x97);
	ASSERT_EQ(wire_decode(frame.data(), frame.size(), &out), STATUS_OK);
	EXPECT_STREQ(out.hello.deployment, "fleet");
	EXPECT_STREQ(out.hello.host, "10.64.0.1");
	EXPECT_TRUE(out.hello.hides_host);
	// There is no room for the address.
	memset(m.hello.deployment, 'd', WIRE_NAME_BYTES - 1);
	frame = encode_frame(m);
	ASSERT_EQ(wire_decode(frame.data(), frame.size(), &out), STATUS_OK);
	EXPECT_STREQ(out.hello.deployment, m.hello.deployment);
	EXPECT_STREQ(out.hello.host, "");
}

/// Guards against a truncated frame being accepted and against a crash or an
/// out-of-bounds read when any bit of a frame is flipped.
TEST(Frames, TruncatedIsRejectedAndBitFlipsAreHarmless)
{
	std::vector<uint8_t> frame = encode_frame(lease_message());
	struct wire_msg out;

	for (size_t n = 0; n < frame.size(); n++)
		EXPECT_EQ(wire_decode(frame.data(), n, &out), STATUS_CORRUPT);
	for (size_t i = 0; i < frame.size(); i++) {
		for (int bit = 0; bit < 8; bit++) {
			frame[i] ^= (uint8_t)(1 << bit);
			(void)wire_decode(frame.data(), frame.size(), &out);
			frame[i] ^= (uint8_t)(1 << bit);
		}
	}
}

/// Guards against allocating whatever size a frame of a few bytes declares.
TEST(Frames, DeclaredSizesBeyondTheFrameAreRejected)
{
	// Arrays, a string and bytes that declare up to 2^32 - 1 elements or
	// bytes.
	const std::vector<std::vector<uint8_t>> frames = {
		{ 0xdd, 0xff, 0xff, 0xff, 0xff, 1 },
		{ 0x92, 1, 0xdb, 0xff, 0xff, 0xff, 0xff },
		{ 0x92, 1, 0xdd, 0xff, 0xff, 0xff, 0xf0, 1 },
		{ 0x92, 1, 0xc6, 0xff, 0xff, 0xff, 0xff, 0 },
	};
	struct wire_msg out;

	for (const auto &c : frames)
		EXPECT_EQ(
		    wire_decode(c.data(), c.size(), &out), STATUS_CORRUPT);
	EXPECT_NE(strstr(status_last(), "size"), nullptr);
}

} // namespace
