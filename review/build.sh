#!/bin/bash
# Builds the stand-ins of the cases into target/review/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O2 -pthread -o target/review/review-standin review/standins/standins.cpp
