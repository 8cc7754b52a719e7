/**
 * Brings the upstreams of a group's view in line with changed declarations. Owns nothing; the view owns the upstreams.
 */
import type { UpstreamDeclaration } from '../../core/config/index.ts'
import type { UpstreamView } from './group-view-types.ts'

/**
 * Closes upstreams that are not declared, replaces those whose address changed, and adds new ones.
 *
 * @param upstreams - upstreams of the view by name
 * @param declarations - the upstreams as declared
 * @param add - adds an upstream to the view, in place of one of the same name
 */
export function alignUpstreams (
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
    const known = upstreams.get(declaration.name)
    const moved = known?.declaration.address !== declaration.address || known.declaration.port !== declaration.port
    if (known === undefined || moved) {
      known?.channel.close()
      add(declaration)
      return
    }
    known.declaration = declaration
  })
}
