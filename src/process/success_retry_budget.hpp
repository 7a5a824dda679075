// Bounds the retries of one node to a share of its successes.
//
// Each success earns a part of a retry and each retry costs a whole one. The
// balance is bounded, so that a long time without failures does not allow a
// burst of retries in a later outage.
#pragma once

namespace shallotwood::process
{

class success_retry_budget
{
public:
    // Retries per success.
    static constexpr double share = 0.1;
    // Retries that a node without any success may make. With 14 nodes in a
    // chain the sum has to stay under 10% of a few hundred requests.
    static constexpr double reserve = 2;
    // Largest balance, in retries.
    static constexpr double most = 20;

    void succeeded();

    // Deducts one retry from the balance; false if there is none.
    bool spend();

private:
    double balance_ = reserve;
};

} // namespace shallotwood::process
