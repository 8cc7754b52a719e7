/** Applies changed upstream declarations to the upstreams of a group's view. */
import type { UpstreamDeclaration } from '../../core/config/index.ts'
import type { UpstreamView } from './group-view-types.ts'

/**
 * Closes upstreams that are no longer declared, replaces those whose address changed, and adds new ones.
 *
 * @param upstreams - upstreams of the view by name; modified in place
 * @param declarations - the declared upstreams
 * @param add - adds an upstream to the view or replaces the one of the same name
 */
export function reconcileUpstreams (
  upstreams: Map<string, UpstreamView>,
  declarations: UpstreamDeclaration[],
  add: (declaration: UpstreamDeclaration) => void
): void {
  const declared = new Set(declarations.map((upstream) => upstream.name))
  for (const [name, view] of upstreams) {
    if (!declared.has(name)) {
      view.channel.close()
      upstreams.delete(name)
    }
  }
  declarations.forEach((declaration) => {
    const existing = upstreams.get(declaration.name)
    const addressChanged =
      existing?.declaration.address !== declaration.address || existing.declaration.port !== declaration.port
    if (existing === undefined || addressChanged) {
      existing?.channel.close()
      add(declaration)
      return
    }
    existing.declaration = declaration
  })
}
