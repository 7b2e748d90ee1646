#include "runtime/data_folder.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <future>

#include "base/error.h"

namespace cometstand::runtime {
namespace {

/// A folder that is removed at the end of the test.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string name = (std::filesystem::temp_directory_path() / "cometstand-XXXXXX").string();
    path_ = ::mkdtemp(name.data());
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::filesystem::path& path() const { return path_; }

 private:
  std::filesystem::path path_;
};

FileWrite write(std::uint64_t id, FileWriteMode mode, std::vector<std::uint8_t> bytes) {
  return {WriteId{id}, "file", mode, std::move(bytes)};
}

TEST_CASE("appends and replacements are read back", "[data_folder]") {
  const TemporaryFolder temporary;
  DataFolder folder(temporary.path());
  const auto results =
      folder.apply({write(1, FileWriteMode::Append, {1}), write(2, FileWriteMode::Append, {2}),
                    write(3, FileWriteMode::Append, {3})});
  REQUIRE(results.size() == 3);
  for (const auto& result : results) CHECK(result.error.empty());
  CHECK(folder.read("file") == std::vector<std::uint8_t>{1, 2, 3});
  folder.apply({write(4, FileWriteMode::Replace, {9})});
  CHECK(folder.read("file") == std::vector<std::uint8_t>{9});
  CHECK(folder.list() == std::vector<std::string>{"file"});
  folder.apply({write(5, FileWriteMode::Remove, {})});
  CHECK_FALSE(folder.read("file").has_value());
}

TEST_CASE("a folder serves one process at a time", "[data_folder]") {
  const TemporaryFolder temporary;
  const DataFolder first(temporary.path());
  CHECK_THROWS_AS(DataFolder(temporary.path()), Error);
}

TEST_CASE("after a failed operation nothing later is tried", "[data_folder]") {
  const TemporaryFolder temporary;
  DataFolder folder(temporary.path());
  std::filesystem::create_directory(temporary.path() / "taken");
  const FileWrite impossible{WriteId{1}, "taken", FileWriteMode::Append, {1}};
  const auto results = folder.apply({impossible, write(2, FileWriteMode::Append, {2})});
  REQUIRE(results.size() == 2);
  CHECK_FALSE(results[0].error.empty());
  CHECK_FALSE(results[1].error.empty());
  CHECK_FALSE(folder.apply({write(3, FileWriteMode::Append, {3})})[0].error.empty());
  CHECK_FALSE(folder.read("file").has_value());
}

TEST_CASE("a file that cannot be removed is a failed operation", "[data_folder]") {
  const TemporaryFolder temporary;
  DataFolder folder(temporary.path());
  std::filesystem::create_directories(temporary.path() / "taken" / "inside");
  const auto results = folder.apply({{WriteId{1}, "taken", FileWriteMode::Remove, {}}});
  REQUIRE(results.size() == 1);
  CHECK_FALSE(results[0].error.empty());
}

/// Makes the folder's file one that has no room for a byte; the folder's next operation finds it full.
void makeFull(const std::filesystem::path& folder) {
  std::filesystem::create_symlink("/dev/full", folder / "file");
}

TEST_CASE("an operation on a full disk is carried out once there is room", "[data_folder]") {
  const TemporaryFolder temporary;
  DataFolder folder(temporary.path());
  makeFull(temporary.path());
  auto results = std::async(std::launch::async, [&folder] {
    return folder.apply({write(1, FileWriteMode::Append, {1}), write(2, FileWriteMode::Append, {2})});
  });
  // It has to fail at least once; however long it takes, it does not end before there is room.
  CHECK(results.wait_for(std::chrono::milliseconds(50)) == std::future_status::timeout);
  std::filesystem::remove(temporary.path() / "file");
  for (const auto& result : results.get()) CHECK(result.error.empty());
  CHECK(folder.read("file") == std::vector<std::uint8_t>{1, 2});
}

TEST_CASE("an operation that waits for room ends when it is interrupted", "[data_folder]") {
  const TemporaryFolder temporary;
  DataFolder folder(temporary.path());
  makeFull(temporary.path());
  auto results = std::async(std::launch::async,
                            [&folder] { return folder.apply({write(1, FileWriteMode::Append, {1})}); });
  folder.interrupt();
  CHECK_FALSE(results.get().at(0).error.empty());
}

}  // namespace
}  // namespace cometstand::runtime
