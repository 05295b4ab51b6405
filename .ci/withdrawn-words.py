#!/usr/bin/env python3
"""Counts what makes the code hard to read, by package. Run by hand: .ci/withdrawn-words.py [-v] [PACKAGE ...]

Counted are, in each package's Rust files:
  long files    sources over 400 lines, tests over 500
  long fns      functions over 60 lines, from `fn` to the closing brace
  undocumented  public items of sources without a doc comment (an estimate; `missing_docs` is the judge)
  inline tests  test modules written inside sources
  words         definitions whose name is a word of withdrawn-words.txt
  tuples        arguments that are taken apart as tuples: `(server, dial): (u64, SocketAddr)`
  danger        comments that begin with "Danger:"
With -v each place is printed. It judges nothing: the exit code is always 0.
"""

import pathlib
import re
import sys

MAX_SOURCE_LINES = 400
MAX_TEST_LINES = 500
MAX_FUNCTION_LINES = 60
COLUMNS = ["long files", "long fns", "undocumented", "inline tests", "words", "tuples", "danger"]

ROOT = pathlib.Path(__file__).resolve().parent.parent
WORDS = {
    line.split(":")[0].strip().lower()
    for line in (ROOT / ".ci/withdrawn-words.txt").read_text().splitlines()
    if line and not line.startswith("#")
}
DEFINITION = re.compile(
    r"\b(?:fn|struct|enum|trait|type|mod|const|static|let|let mut)\s+(\w+)"
    r"|^\s*(?:pub(?:\([a-z]+\))?\s+)?(\w+)\s*:\s"  # a field or an argument on a line of its own
    r"|^\s*([A-Z]\w*)(?:\(|,| \{|$)"  # a variant of an enum
)
PUBLIC = re.compile(r"^\s*pub (?:async |const |unsafe )*(?:fn|struct|enum|trait|type|mod \w+ \{|const|static|\w+:)")
FUNCTION = re.compile(r"^(\s*)(?:pub(?:\([a-z]+\))? )?(?:async |const )*fn \w+")
TUPLE = re.compile(r"[(,]\s*\(\w+(?:, \w+)+\): \(|^\s+\(\w+(?:, \w+)+\): \(")


def function_lengths(lines):
    """The line number and length of each function; relies on rustfmt's indentation."""
    for start, line in enumerate(lines):
        found = FUNCTION.match(line)
        if not found:
            continue
        for end in range(start, len(lines)):
            if lines[end].rstrip() in (found[1] + "}", found[1] + ");") or lines[end].rstrip().endswith(";") and end == start:
                yield start + 1, end - start + 1
                break


def findings(path, is_test):
    """Each finding of a file: its column, its line and what it is."""
    lines = path.read_text().splitlines()
    limit = MAX_TEST_LINES if is_test else MAX_SOURCE_LINES
    if len(lines) > limit:
        yield "long files", 1, f"{len(lines)} lines"
    for line, length in function_lengths(lines):
        if length > MAX_FUNCTION_LINES:
            yield "long fns", line, f"{length} lines"
    for number, line in enumerate(lines, 1):
        before = next((above for above in reversed(lines[: number - 1]) if not above.lstrip().startswith("#[")), "")
        if not is_test and PUBLIC.match(line) and not before.lstrip().startswith("///"):
            yield "undocumented", number, line.strip()
        if not is_test and line.startswith("mod tests {"):
            yield "inline tests", number, line.strip()
        code = line.split("//")[0]
        for groups in DEFINITION.findall(code):
            name = next(group for group in groups if group)
            if name.lower() in WORDS:
                yield "words", number, name
        if TUPLE.search(code):
            yield "tuples", number, line.strip()
        if re.search(r"//[/!]? ?.*\bDanger:", line):
            yield "danger", number, line.strip()


def main():
    arguments = sys.argv[1:]
    verbose = "-v" in arguments
    packages = [name for name in arguments if name != "-v"] or sorted(p.name for p in (ROOT / "crates").iterdir())
    sums = dict.fromkeys(COLUMNS, 0)
    print(f"{'package':<26}" + "".join(f"{column:>14}" for column in COLUMNS))
    for package in packages:
        counts = dict.fromkeys(COLUMNS, 0)
        for path in sorted((ROOT / "crates" / package).rglob("*.rs")):
            is_test = "src" not in path.relative_to(ROOT / "crates" / package).parts
            for column, line, what in findings(path, is_test):
                counts[column] += 1
                sums[column] += 1
                if verbose:
                    print(f"  {column}: {path.relative_to(ROOT)}:{line}: {what}")
        print(f"{package:<26}" + "".join(f"{counts[column]:>14}" for column in COLUMNS))
    print(f"{'all':<26}" + "".join(f"{sums[column]:>14}" for column in COLUMNS))


main()
