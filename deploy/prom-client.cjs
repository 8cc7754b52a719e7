// Replaces prom-client's main module in the bundle by the classes that the entry process uses; see bundle.js.
exports.Gauge = require('../node_modules/prom-client/lib/gauge.js')
exports.Registry = require('../node_modules/prom-client/lib/registry.js')
