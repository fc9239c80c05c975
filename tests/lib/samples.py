"""Valid settings and tickets for tests."""

SETTINGS = """\
[instance]
id = e1
failure_domain = a
[store]
address = 127.0.0.1:2379
[platform]
list_url = http://127.0.0.1:8080/instances
[peer]
secret = peer-secret-1
[tokens]
operator = operator-token-1
team.counters = counters-token-1
team.labs = labs-token-1
"""

TICKET = """\
format: 1
id: raise-quota
base: 3
author: mira
summary: More room for the counters.
set:
  services:
    shade-engine: {team: counters, slots: 8, connections: 64, max_run: 10 s}
  jobs:
    recalibration:
      team: labs
      domain: a
      kind: batch
      tasks: 12
      resources: {cpu: 500m, memory: 2 GiB}
  teams:
    counters: {quota: {cpu: 200 cores, memory: 800 GiB}}
  policies:
    default:
      placement: {batch: spread}
      domain_weights: {a: 0.5, b: 0.5}
remove:
  jobs: [old-job]
"""
