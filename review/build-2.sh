#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O2 -Wall -Wextra -Wno-psabi -pthread -o target/review/review-case-2 review/standin2/*.cpp
