// Runs a fuzz target on mutated inputs from a fixed seed, so that the same
// inputs are tried on every machine. With -DSHALLOTWOOD_LIBFUZZER=ON the
// target is built with libFuzzer instead and this file is not used.
//
//     fuzz_context --runs 20000 --seed 1 CORPUS_DIRECTORY
#include <boost/program_options.hpp>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <string>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size);

namespace
{

constexpr std::size_t max_input_bytes = 65536;

std::vector<std::string> read_corpus(const std::string& directory)
{
    std::vector<std::filesystem::path> files;
    for (const auto& it : std::filesystem::directory_iterator(directory))
        files.push_back(it.path());
    // Directory order differs between file systems.
    std::sort(files.begin(), files.end());
    std::vector<std::string> inputs{""};
    for (const auto& it : files) {
        std::ifstream in(it, std::ios::binary);
        inputs.emplace_back(std::istreambuf_iterator<char>(in),
                            std::istreambuf_iterator<char>());
    }
    return inputs;
}

std::size_t below(std::mt19937_64& random, std::size_t bound)
{
    return bound == 0 ? 0 : random() % bound;
}

void mutate_once(std::string& text, const std::vector<std::string>& corpus,
                 std::mt19937_64& random)
{
    static const std::string marks = "{}[]\",:=\\\n\r\t 0-9eE.\x7f\xff";
    auto at = below(random, text.size() + 1);
    switch (below(random, 6)) {
    case 0:
        text.insert(at, 1, static_cast<char>(random()));
        break;
    case 1:
        text.insert(at, 1, marks[below(random, marks.size())]);
        break;
    case 2:
        text.erase(at, 1 + below(random, 8));
        break;
    case 3:
        if (!text.empty())
            text[below(random, text.size())] ^= char(1 << below(random, 8));
        break;
    case 4: {
        const auto& other = corpus[below(random, corpus.size())];
        auto from = below(random, other.size() + 1);
        text.insert(at, other, from, below(random, 64));
        break;
    }
    default:
        text += text.substr(at, 64);
        break;
    }
}

void run(const std::string& input)
{
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(input.data()),
                           input.size());
}

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    po::options_description options("Options");
    options.add_options()("runs", po::value<int>()->default_value(20000),
                          "number of mutated inputs")(
        "seed", po::value<std::uint64_t>()->default_value(1), "random seed")(
        "corpus", po::value<std::string>()->required(), "directory of inputs");
    po::positional_options_description positions;
    positions.add("corpus", 1);
    po::variables_map values;
    po::store(po::command_line_parser(argc, argv)
                  .options(options)
                  .positional(positions)
                  .run(),
              values);
    po::notify(values);

    auto corpus = read_corpus(values["corpus"].as<std::string>());
    for (const auto& it : corpus)
        run(it);
    std::mt19937_64 random(values["seed"].as<std::uint64_t>());
    int runs = values["runs"].as<int>();
    for (int n = 0; n < runs; ++n) {
        auto input = corpus[below(random, corpus.size())];
        for (auto count = 1 + below(random, 8); count > 0; --count)
            mutate_once(input, corpus, random);
        input.resize(std::min(input.size(), max_input_bytes));
        run(input);
    }
    std::cout << corpus.size() + runs << " inputs, no crash\n";
    return 0;
}
