#include "TestSupport.h"

#include <hyssopwick_deployment.h>

using namespace hyssopwick;

TEST_GROUP(OldWeightsBounds) {};

// The bound from the publication is not shortened, and one of a version published later not extended.
TEST(OldWeightsBounds, TheGraceAfterAStartExtendsOnlyBoundsFromBeforeIt)
{
    OldWeightsBounds bounds(at(10000));
    const OldWeightsGrace grace { Milliseconds(8000), Milliseconds(3500) };
    bounds.add({ "m", 2 }, at(9000));
    CHECK(bounds.usableUntil({ { "m", 1 } }, grace) == at(17000));
    bounds.add({ "m", 3 }, at(0));
    CHECK(bounds.usableUntil({ { "m", 1 } }, grace) == at(13500));
    CHECK(bounds.usableUntil({ { "m", 1 } }, { Milliseconds(1000), Milliseconds(3500) }) == at(13500));
    bounds.add({ "n", 2 }, at(10001));
    CHECK(bounds.usableUntil({ { "n", 1 } }, { Milliseconds(1000), Milliseconds(3500) }) == at(11001));
    CHECK_FALSE(bounds.usableUntil({ { "m", 3 } }, grace).has_value());
}
