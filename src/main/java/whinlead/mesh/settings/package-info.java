/**
 * The settings file that the platform gives each process, read and checked.
 *
 * <p>Begin with {@link whinlead.mesh.settings.NodeSettings}. Names of fields and tables are the platform's. Used by all
 * roles; uses Jackson only.
 */
package whinlead.mesh.settings;
