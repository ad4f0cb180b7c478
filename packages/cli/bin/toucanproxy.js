#!/usr/bin/env node
// tsc writes dist/main.js without execute permission, so this executable file imports it.
import '../dist/main.js';
