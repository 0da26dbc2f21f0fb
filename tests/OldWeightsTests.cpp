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

TEST(OldWeightsBounds, AnEarlierPublicationThatIsLearntLaterShortensTheBound)
{
    OldWeightsBounds bounds(at(0));
    const OldWeightsGrace grace { Milliseconds(8000), Milliseconds(3500) };
    CHECK(bounds.add({ "m", 2 }, at(9000)));
    CHECK_FALSE(bounds.add({ "m", 2 }, at(9500)));
    CHECK(bounds.add({ "m", 2 }, at(8000)));
    CHECK(bounds.usableUntil({ { "m", 1 } }, grace) == at(16000));
}

TEST_GROUP(VersionPublications) {};

TEST(VersionPublications, ATimeWithABetterBasisReplacesTheOthers)
{
    VersionPublications publications;
    const WeightsVersion version { "m", 2 };
    const auto record = [&](int earliest, PublicationBasis basis) { return publications.record(version, { at(earliest), basis }).earliest; };
    CHECK(record(1000, PublicationBasis::FoundAtStart) == at(1000));
    CHECK(publications.ages(PublicationBasis::Measured, at(9000)).empty());
    CHECK(record(5000, PublicationBasis::Estimated) == at(5000));
    CHECK(record(6000, PublicationBasis::Estimated) == at(5000));
    CHECK(publications.ages(PublicationBasis::Measured, at(9000)).empty());
    CHECK(publications.ages(PublicationBasis::Estimated, at(9000)).at(version) == Milliseconds(4000));
    CHECK(record(3000, PublicationBasis::Measured) == at(3000));
    // Times before the publication: the latest is the closest, so that ages do not grow from process to process.
    CHECK(record(2800, PublicationBasis::Measured) == at(3000));
    CHECK(record(3100, PublicationBasis::Measured) == at(3100));
    CHECK(record(4000, PublicationBasis::Estimated) == at(3100));
    CHECK(publications.ages(PublicationBasis::Measured, at(9000)).at(version) == Milliseconds(5900));
}
