#include <iostream>

int main()
{
    std::cout << "shallotwoodd " << SHALLOTWOOD_VERSION << '\n';
    return 0;
}
