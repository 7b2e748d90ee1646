"""Tests of scripts/lint-files on a small checkout of its own: what was clean is skipped, and nothing else is."""

import json
import pathlib
import shutil
import subprocess
import tempfile
import unittest

PROJECT = pathlib.Path(__file__).resolve().parent.parent.parent
CLEAN = "#include \"value.h\"\nint main() { return value(); }\n"
HEADER = "#pragma once\ninline int value() { return 1; }\n"
SETTINGS = "Checks: '-*,readability-identifier-naming,modernize-use-nullptr'\nWarningsAsErrors: '*'\n" \
    "HeaderFilterRegex: '.*'\nCheckOptions:\n  - {key: readability-identifier-naming.FunctionCase, value: camelBack}\n"


class LintFilesTest(unittest.TestCase):
    def setUp(self):
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)
        self.checkout = self.make_checkout("first")

    def make_checkout(self, name):
        checkout = self.folder / name
        (checkout / "build").mkdir(parents=True)
        (checkout / "main.cpp").write_text(CLEAN)
        (checkout / "value.h").write_text(HEADER)
        (checkout / ".clang-tidy").write_text(SETTINGS)
        command = f"c++ -I{checkout} -std=c++20 -o main.o -c {checkout}/main.cpp"
        entry = {"directory": str(checkout / "build"), "command": command, "file": str(checkout / "main.cpp")}
        (checkout / "build" / "compile_commands.json").write_text(json.dumps([entry]))
        return checkout

    def lint(self, checkout):
        """Returns (exit code, number of files that clang-tidy checked)."""
        command = [PROJECT / "scripts" / "lint-files", "--build", checkout / "build", "--cache", self.folder / "cache",
                   checkout / "main.cpp"]
        result = subprocess.run(command, capture_output=True, text=True, check=False)
        summary = result.stdout.strip().splitlines()[-1]
        return result.returncode, int(summary.split(" files, ")[1].split()[0])

    def test_a_clean_file_is_checked_once(self):
        self.assertEqual(self.lint(self.checkout), (0, 1))
        self.assertEqual(self.lint(self.checkout), (0, 0))

    def test_another_checkout_of_the_same_sources_is_known(self):
        self.assertEqual(self.lint(self.checkout), (0, 1))
        self.assertEqual(self.lint(self.make_checkout("second")), (0, 0))

    def test_a_new_fault_in_a_file_that_was_clean_fails_each_time(self):
        self.assertEqual(self.lint(self.checkout), (0, 1))
        (self.checkout / "main.cpp").write_text("int main() { int* none = 0; return none == nullptr; }\n")
        self.assertEqual(self.lint(self.checkout), (1, 1))
        self.assertEqual(self.lint(self.checkout), (1, 1))

    def test_a_new_fault_in_a_header_fails(self):
        self.assertEqual(self.lint(self.checkout), (0, 1))
        (self.checkout / "value.h").write_text(HEADER + "inline int Wrong_Name() { return 2; }\n")
        self.assertEqual(self.lint(self.checkout), (1, 1))

    def test_a_comment_that_switched_a_check_off_counts(self):
        (self.checkout / "value.h").write_text(HEADER + "inline int Wrong() { return 2; }  // NOLINT\n")
        self.assertEqual(self.lint(self.checkout), (0, 1))
        (self.checkout / "value.h").write_text(HEADER + "inline int Wrong() { return 2; }\n")
        self.assertEqual(self.lint(self.checkout), (1, 1))

    def test_stricter_settings_check_again(self):
        self.assertEqual(self.lint(self.checkout), (0, 1))
        stricter = SETTINGS.replace("camelBack", "UPPER_CASE")
        (self.checkout / ".clang-tidy").write_text(stricter)
        self.assertEqual(self.lint(self.checkout), (1, 1))


if __name__ == "__main__":
    unittest.main()
