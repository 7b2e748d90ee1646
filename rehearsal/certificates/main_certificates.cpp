/// cometstand-certificates: makes test certificates for the processes of a fleet.
#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <exception>

#include "rehearsal/certificates/certificate_maker.h"
#include "settings/program.h"

using namespace cometstand;

namespace {

constexpr int kDefaultDays = 30;

void run(int argc, char** argv) {
  TCLAP::CmdLine command_line(
      "Makes test certificates. Its keys lie unencrypted on disk: not for production.", ' ',
      settings::programVersion());
  command_line.setExceptionHandling(false);
  TCLAP::ValueArg<std::string> folder("", "folder",
                                      "Where the files go; an authority that is there already is used again",
                                      true, "", "FOLDER", command_line);
  TCLAP::ValueArg<int> days("", "days", "Life of the certificates in days (30)", false, kDefaultDays, "N",
                            command_line);
  TCLAP::UnlabeledMultiArg<std::string> subjects("subject", "ROLE/NAME, or operator/NAME/TENANT", true,
                                                 "SUBJECT", command_line);
  command_line.parse(argc, argv);
  certificates::CertificateMaker maker(folder.getValue(), days.getValue());
  for (const auto& text : subjects.getValue()) {
    const auto subject = certificates::parseSubject(text);
    maker.make(subject);
    fmt::print("{}\n", maker.certificateFile(subject.name).string());
  }
}

}  // namespace

int main(int argc, char** argv) {
  try {
    run(argc, argv);
    return settings::kExitSuccess;
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    fmt::print(stderr, "cometstand-certificates: {} {} (see --help)\n", error.argId(), error.error());
    return settings::kExitUsage;
  } catch (const std::exception& error) {
    fmt::print(stderr, "cometstand-certificates: {}\n", error.what());
    return settings::kExitFailure;
  }
}
