#!/usr/bin/env node
// The compiled program is not executable; this file is, and stays so.
import '../dist/main.js';
