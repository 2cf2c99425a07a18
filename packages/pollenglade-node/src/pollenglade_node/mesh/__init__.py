"""The mesh node, which runs next to one endpoint.

Routes requests by host and path; all of its rules come from one published policy.

This package contains two kinds of node. `pollenglade_node.main` starts `Node`, which uses
`entry.entry.Entry` and `serving.serving.Serving` for the targets of one host. The sidecar
`pollenglade_platform` starts `MeshNode`, which uses `mesh.entry.MeshEntry` and
`mesh.endpoint_serving.EndpointServing` for one endpoint. A mesh node has no profiles, claims or
gossip: it gets a policy from the store and exchanges state messages with its peers. Both nodes use
`membership.links`, `serving.crash_notices` and `serving.relay_window`.
"""
