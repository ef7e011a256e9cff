#include "masticpin/admission/body_memory.h"

#include <gtest/gtest.h>

#include <limits>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "masticpin/admission/body_reservation.h"

namespace masticpin {
namespace {

constexpr std::size_t kSmall = 64;
constexpr std::size_t kSmallShare = 256;
constexpr std::size_t kLargeShare = 1000;
constexpr BodyMemorySettings kSettings{kSmall, kSmallShare, kLargeShare};

// Guards against large uploads that keep small requests out.
TEST(BodyMemoryTest, SmallBodiesFitBesideLargeOnes) {
  BodyMemory memory(kSettings);
  BodyReservation large(memory);
  ASSERT_TRUE(large.Grow(kLargeShare));
  BodyReservation refused(memory);
  EXPECT_FALSE(refused.Grow(kSmall + 1));
  EXPECT_EQ(refused.Bytes(), 0U);
  BodyReservation small(memory);
  EXPECT_TRUE(small.Grow(kSmall));
  EXPECT_EQ(memory.Refusals(), 1U);
  large.Release();
  EXPECT_TRUE(refused.Grow(kLargeShare));
}

// Guards against an announced size whose sum with the others overflows.
TEST(BodyMemoryTest, HugeSizesAreRefused) {
  BodyMemory memory(kSettings);
  BodyReservation first(memory);
  ASSERT_TRUE(first.Grow(500));
  BodyReservation huge(memory);
  EXPECT_FALSE(huge.Grow(std::numeric_limits<std::size_t>::max()));
  EXPECT_EQ(memory.LargeBytes(), 500U);
}

// Guards against a body whose growth beyond the small size is counted in both shares or in none.
TEST(BodyMemoryTest, GrowingBodyMovesToTheLargeShare) {
  BodyMemory memory(kSettings);
  BodyReservation body(memory);
  ASSERT_TRUE(body.Grow(kSmall));
  EXPECT_EQ(memory.SmallBytes(), kSmall);
  ASSERT_TRUE(body.Grow(kSmall + 1));
  EXPECT_EQ(memory.SmallBytes(), 0U);
  EXPECT_EQ(memory.LargeBytes(), kSmall + 1);
  const BodyReservation moved = std::move(body);
  EXPECT_EQ(memory.LargeBytes(), kSmall + 1);
}

/// Releases its reservations one by one, the last one first.
class ReleasingReclaimer : public BodyMemoryReclaimer {
 public:
  bool Reclaim(BodyMemory&) override {
    ++this->calls;
    if (this->held.empty()) {
      return false;
    }
    this->held.pop_back();
    return true;
  }

  std::vector<BodyReservation> held;
  int calls = 0;
};

// Guards against a crowd that holds the account, and against what can never fit ending others.
TEST(BodyMemoryTest, ReclaimerMakesRoomForWhatCanFit) {
  BodyMemory memory(kSettings);
  ReleasingReclaimer reclaimer;
  memory.SetReclaimer(&reclaimer);
  for (int i = 0; i < 5; ++i) {
    reclaimer.held.emplace_back(memory);
    ASSERT_TRUE(reclaimer.held.back().Grow(kLargeShare / 5));
  }
  BodyReservation never(memory);
  EXPECT_FALSE(never.Grow(kLargeShare + 1));
  EXPECT_EQ(reclaimer.calls, 0);
  BodyReservation next(memory);
  EXPECT_TRUE(next.Grow(kLargeShare / 5 + 1));
  EXPECT_EQ(reclaimer.held.size(), 3U);
  BodyReservation whole(memory);
  EXPECT_FALSE(whole.Grow(kLargeShare));
  EXPECT_TRUE(reclaimer.held.empty());
  EXPECT_EQ(memory.LargeBytes(), next.Bytes());
}

constexpr BodyMemoryPoolSettings kPool{2500, 2200};

// Guards against a single body that is refused because of the share, although nothing else is in
// progress, and against several that are admitted together.
TEST(BodyMemoryPoolTest, OversizedBodiesFitWhileThePoolHasRoom) {
  BodyMemoryPool pool(kPool);
  BodyMemory memory(kSettings, &pool);
  BodyReservation oversized(memory);
  EXPECT_FALSE(oversized.Grow(2201));
  ASSERT_TRUE(oversized.Grow(2200));
  EXPECT_EQ(memory.LargeBytes(), 2200U);
  BodyReservation another(memory);
  EXPECT_FALSE(another.Grow(kLargeShare + 1));
  oversized.Release();
  EXPECT_TRUE(another.Grow(kLargeShare + 1));
}

// Guards against oversized bodies that keep out all others.
TEST(BodyMemoryPoolTest, LargeBodiesFitBesideOversizedOnes) {
  BodyMemoryPool pool(kPool);
  BodyMemory requests(kSettings, &pool);
  BodyMemory responses(kSettings, &pool);
  BodyReservation oversized(requests);
  ASSERT_TRUE(oversized.Grow(2200));
  BodyReservation large(requests);
  EXPECT_TRUE(large.Grow(200));
  BodyReservation response(responses);
  EXPECT_TRUE(response.Grow(100));
  BodyReservation too_much(responses);
  EXPECT_FALSE(too_much.Grow(kSmall + 1));
  BodyReservation small(responses);
  EXPECT_TRUE(small.Grow(kSmall));
}

/// Releases a reservation of one account.
class OtherAccountReclaimer : public BodyMemoryReclaimer {
 public:
  bool Reclaim(BodyMemory& memory) override {
    if (&memory != this->account || this->held.Bytes() == 0) {
      return false;
    }
    this->held.Release();
    return true;
  }

  BodyMemory* account = nullptr;
  BodyReservation held;
};

// Guards against what stalls in one account and keeps a body of another one out, and against an end
// that does not help because the account itself is full.
TEST(BodyMemoryPoolTest, OtherAccountsGiveWayOnlyIfThePoolIsFull) {
  OtherAccountReclaimer reclaimer;
  BodyMemoryPool pool(kPool);
  BodyMemory requests(kSettings, &pool);
  BodyMemory responses(kSettings, &pool);
  requests.SetReclaimer(&reclaimer);
  reclaimer.account = &responses;
  reclaimer.held = BodyReservation(responses);
  ASSERT_TRUE(reclaimer.held.Grow(500));
  BodyReservation large(requests);
  ASSERT_TRUE(large.Grow(kLargeShare));
  BodyReservation full(requests);
  EXPECT_FALSE(full.Grow(kSmall + 1));
  EXPECT_EQ(responses.LargeBytes(), 500U);
  large.Release();
  EXPECT_TRUE(full.Grow(2200));
  EXPECT_EQ(responses.LargeBytes(), 0U);
}

// Guards against bodies of unknown length that grow together until none of them can be completed.
TEST(BodyMemoryPoolTest, OversizedBodyOfUnknownLengthTakesTheMaximum) {
  BodyMemoryPool pool(kPool);
  BodyMemory memory(kSettings, &pool);
  BodyReservation reservation(memory);
  std::string body(kLargeShare, 'x');
  ASSERT_TRUE(reservation.GrowWithBody(body, std::nullopt, 2000));
  EXPECT_EQ(reservation.Bytes(), kLargeShare);
  body.push_back('x');
  ASSERT_TRUE(reservation.GrowWithBody(body, std::nullopt, 2000));
  EXPECT_EQ(reservation.Bytes(), 2000U);
  EXPECT_GE(body.capacity(), 2000U);
  BodyReservation announced(memory);
  std::string begun = "x";
  EXPECT_FALSE(announced.GrowWithBody(begun, kLargeShare, 2000));
  EXPECT_TRUE(announced.GrowWithBody(begun, 100, 2000));
  EXPECT_EQ(announced.Bytes(), 100U);
}

// Guards against a reservation that keeps what a buffer no longer holds.
TEST(BodyMemoryTest, ResizedReservationShrinks) {
  BodyMemory memory(kSettings);
  BodyReservation buffer(memory);
  ASSERT_TRUE(buffer.Resize(500));
  ASSERT_TRUE(buffer.Resize(70));
  EXPECT_EQ(memory.LargeBytes(), 70U);
  ASSERT_TRUE(buffer.Resize(10));
  EXPECT_EQ(memory.SmallBytes(), 10U);
  EXPECT_EQ(memory.LargeBytes(), 0U);
  ASSERT_TRUE(buffer.Resize(0));
  EXPECT_EQ(memory.SmallBytes(), 0U);
}

// Guards against sums beyond the bounds and against bytes that are never released, in any order of
// arrival, growth, transfer and end.
TEST(BodyMemoryTest, SumsStayWithinBoundsAndReturnToZero) {
  for (std::uint32_t seed = 1; seed <= 100; ++seed) {
    std::mt19937 random(seed);
    // Every second seed plays an account with a pool, whose bodies may be oversized.
    BodyMemoryPool pool(kPool);
    BodyMemory memory(kSettings, seed % 2 == 0 ? &pool : nullptr);
    const std::size_t bound = seed % 2 == 0 ? kPool.max_bytes : kLargeShare;
    std::vector<BodyReservation> bodies;
    for (int step = 0; step < 2000; ++step) {
      const std::size_t choice = random() % 4;
      if (choice == 0 || bodies.empty()) {
        bodies.emplace_back(memory);
      } else if (choice == 1) {
        bodies.erase(bodies.begin() + static_cast<std::ptrdiff_t>(random() % bodies.size()));
      } else {
        BodyReservation& body = bodies[random() % bodies.size()];
        const std::size_t before = body.Bytes();
        const std::size_t wanted = before + random() % 200;
        const bool grown = body.Grow(wanted);
        EXPECT_EQ(body.Bytes(), grown ? wanted : before);
      }
      std::size_t sum = 0;
      for (const BodyReservation& body : bodies) {
        sum += body.Bytes();
      }
      ASSERT_EQ(memory.SmallBytes() + memory.LargeBytes(), sum) << "seed " << seed;
      ASSERT_LE(memory.SmallBytes(), kSmallShare) << "seed " << seed;
      ASSERT_LE(memory.LargeBytes(), bound) << "seed " << seed;
      ASSERT_LE(pool.OversizedBytes(), kPool.max_oversized_bytes) << "seed " << seed;
      ASSERT_EQ(pool.Bytes(), seed % 2 == 0 ? memory.LargeBytes() : 0) << "seed " << seed;
    }
    bodies.clear();
    ASSERT_EQ(memory.SmallBytes() + memory.LargeBytes(), 0U) << "seed " << seed;
  }
}

}  // namespace
}  // namespace masticpin
