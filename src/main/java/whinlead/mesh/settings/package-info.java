/**
 * The settings file that the platform gives each process, parsed and checked.
 *
 * <p>Begin with {@link whinlead.mesh.settings.NodeSettings}. The platform defines the names of fields and tables. Used
 * by all roles; uses Jackson only.
 */
package whinlead.mesh.settings;
